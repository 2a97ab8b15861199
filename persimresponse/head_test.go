package persimresponse

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimbroken"
)

// validHeads are heads of whole responses, up to the body.
var validHeads = []string{
	"HTTP/1.1 200 OK\r\n\r\n",
	"HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\n",
	"HTTP/1.1 200\r\ncontent-length:4\r\n\r\n",
	"HTTP/1.1 404 Not Found\nX-Field: a\n\n",
	"HTTP/1.1 599 \t\xe9\r\nX-Field:\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX-Folded: a\r\n b\r\n\tc\r\nTransfer-Encoding: chunked\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 204 No Content\r\n!#$%&'*+-.^_`|~: \xe9\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding-Not: x\r\nContent-Length: 4\r\n\r\n",
}

// headLength returns the number of bytes that the heads at the start of data have, or an error
// if they are malformed. It is false if they are not complete.
func headLength(data []byte) (int, bool, error) {
	var h head
	for i := range data {
		if err := h.scan(data[i : i+1]); err != nil {
			return 0, false, err
		}
		if h.state == stateBody {
			return i + 1, true, nil
		}
	}
	return 0, false, nil
}

func TestValidHeads(t *testing.T) {
	for _, text := range validHeads {
		t.Run(text, func(t *testing.T) {
			length, complete, err := headLength([]byte(text + "body"))
			require.NoError(t, err)
			require.True(t, complete)
			require.Equal(t, len(text), length)
			var h head
			require.NoError(t, h.scan([]byte(text+"\x00")), "in one part, with the body")
			require.Equal(t, stateBody, h.state)
		})
	}
}

// parsedElsewhere are the cases whose fault is in a value that net/http checks.
var parsedElsewhere = map[string]bool{"two lengths": true, "list of lengths": true, "negative length": true, "unknown encoding": true}

func TestMalformedHeads(t *testing.T) {
	for _, c := range persimbroken.MalformedHeads() {
		t.Run(c.Name, func(t *testing.T) {
			_, complete, err := headLength([]byte(c.Text("X-First: 1\r\n")))
			if parsedElsewhere[c.Name] {
				require.NoError(t, err)
				require.True(t, complete)
				_, err = http.ReadResponse(bufio.NewReader(bytes.NewReader([]byte(c.Text("")))), nil)
				require.Error(t, err)
				return
			}
			require.ErrorIs(t, err, ErrMalformed)
		})
	}
}

// FuzzHeadEndsWhereItIsParsed guards against a head that ends for the check elsewhere than for the
// parser of net/http, so that lines of a head would pass unchecked.
func FuzzHeadEndsWhereItIsParsed(f *testing.F) {
	for _, text := range validHeads {
		f.Add([]byte(text + "body"))
	}
	for _, c := range persimbroken.MalformedHeads() {
		f.Add([]byte(c.Text("X-First: 1\r\n")))
	}
	f.Add([]byte("HTTP/1.1 200 OK\r\n \r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nA: b\r\n \r\n \r\nC: d\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		length, complete, err := headLength(data)
		if err != nil {
			return
		}
		rest := bytes.NewReader(data)
		reader := bufio.NewReader(rest)
		for {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				return
			}
			if response.StatusCode >= http.StatusOK {
				break
			}
		}
		require.True(t, complete, "the parser takes a part of a head")
		require.Equal(t, length, len(data)-rest.Len()-reader.Buffered())
	})
}
