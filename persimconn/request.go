package persimconn

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
)

// separateHeaders are the header fields that a request writes apart from the others.
var separateHeaders = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true}

// writeRequest writes a request. Its target is RequestURI, byte for byte, or that of its URL
// if it has none: http.Request.Write encodes some targets anew.
func writeRequest(w *bufio.Writer, req *http.Request) error {
	target, host := req.RequestURI, req.Host
	if target == "" {
		target = req.URL.RequestURI()
	}
	if host == "" {
		host = req.URL.Host
	}
	for _, part := range []string{req.Method, " ", target, " HTTP/1.1\r\nHost: ", host, "\r\n"} {
		if _, err := w.WriteString(part); err != nil {
			return err
		}
	}
	if req.ContentLength > 0 || mayHaveBody(req.Method) {
		if _, err := w.WriteString("Content-Length: " + strconv.FormatInt(req.ContentLength, 10) + "\r\n"); err != nil {
			return err
		}
	}
	if err := req.Header.WriteSubset(w, separateHeaders); err != nil {
		return err
	}
	if _, err := w.WriteString("\r\n"); err != nil {
		return err
	}
	if req.Body == nil {
		return nil
	}
	defer func() { _ = req.Body.Close() }()
	_, err := io.Copy(w, req.Body)
	return err
}

// mayHaveBody reports whether a method defines a body, so that its length is written also if
// it is zero.
func mayHaveBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}
