package persimbroken

// Body is the content of the responses in this file, and chunkedBody the same in one chunk.
const (
	Body        = "good"
	chunkedBody = "4\r\n" + Body + "\r\n0\r\n\r\n"
)

// Lines of heads.
const (
	okStatus    = "HTTP/1.1 200 OK\r\n"
	lengthField = "Content-Length: 4\r\n"
	chunksField = "Transfer-Encoding: chunked\r\n"
	endOfHead   = "\r\n"
)

// HeadCase is a response whose head is malformed.
type HeadCase struct {
	Name string
	// status is the status line, fields are the lines that follow it, with their ends.
	status, fields string
	// body follows the head.
	body string
}

// Text returns the bytes of the response, with more fields in front of its own.
func (c HeadCase) Text(fields string) string {
	return c.status + fields + c.fields + endOfHead + c.body
}

// MalformedHeads returns responses that no client may take for one.
func MalformedHeads() []HeadCase {
	var cases []HeadCase
	for _, code := range []string{"000", "001", "099", "101", "600", "999", "-01", "+20", "20", "2000", "2x0", "", " 200"} {
		cases = append(cases, HeadCase{"status " + code, "HTTP/1.1 " + code + " Text\r\n", "Content-Length: 0\r\n", ""})
	}
	for _, line := range []string{"HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "HTTP/1.x 200 OK", "200 OK", "HTTP/1.1 200 O\x00K"} {
		cases = append(cases, HeadCase{"status line " + line, line + "\r\n", lengthField, Body})
	}
	for _, name := range []string{
		"X-Field ", "X-Field\t", "X Field", "X\x01Field", "X\x00Field", "X\x7fField", "X\xe9Field", "X(Field", "", "Content-Length ",
	} {
		cases = append(cases, HeadCase{"name " + name, okStatus, name + ": 2\r\n" + lengthField, Body})
	}
	return append(
		cases,
		HeadCase{"line without a colon", okStatus, "X-Field\r\n" + lengthField, Body},
		HeadCase{"control byte in a value", okStatus, "X-Field: 2\x01\r\n" + lengthField, Body},
		HeadCase{"CR in a value", okStatus, "X-Field: 2\r3\r\n" + lengthField, Body},
		HeadCase{"blank before the colon of the only length", okStatus, "Content-Length : 2\r\n", Body},
		HeadCase{"blank before the colon of the only encoding", okStatus, "Transfer-Encoding : chunked\r\n", chunkedBody},
		HeadCase{"length and chunks", okStatus, lengthField + chunksField, chunkedBody},
		HeadCase{"chunks and length", okStatus, "transfer-encoding: chunked\r\ncontent-length: 4\r\n", chunkedBody},
		HeadCase{"chunks in version 1.0", "HTTP/1.0 200 OK\r\n", chunksField, chunkedBody},
		HeadCase{"two lengths", okStatus, lengthField + "Content-Length: 2\r\n", Body},
		HeadCase{"list of lengths", okStatus, "Content-Length: 4, 4\r\n", Body},
		HeadCase{"negative length", okStatus, "Content-Length: -4\r\n", Body},
		HeadCase{"unknown encoding", okStatus, "Transfer-Encoding: gzip, chunked\r\n", chunkedBody},
		HeadCase{"blank in a name of an interim response", "HTTP/1.1 103 Early Hints\r\n", "X Field: 2\r\n", okStatus + lengthField + endOfHead + Body},
		HeadCase{"status 000 after an interim response", "HTTP/1.1 103 Early Hints\r\n", "", "HTTP/1.1 000 Text\r\nContent-Length: 0\r\n" + endOfHead},
	)
}

// BodyCase is a response with a valid status line and valid fields.
type BodyCase struct {
	Name string
	// rest follows the status line and more fields.
	rest string
	// whole tells whether the response is whole, endsByFIN whether it is unless its connection
	// is reset.
	whole, endsByFIN bool
}

// Text returns the bytes of the response, with more fields in front of its own.
func (c BodyCase) Text(fields string) string { return okStatus + fields + c.rest }

// Whole reports whether the response is whole if its connection ends in a way.
func (c BodyCase) Whole(end End) bool { return c.whole || c.endsByFIN && end != EndReset }

// Bodies returns responses in each framing, whole ones and parts.
func Bodies() []BodyCase {
	return []BodyCase{
		{Name: "no framing", rest: endOfHead + Body, endsByFIN: true},
		{Name: "no framing, Connection: close", rest: "Connection: close\r\n" + endOfHead + Body, endsByFIN: true},
		{Name: "length", rest: lengthField + endOfHead + Body, whole: true},
		{Name: "length, part of the body", rest: lengthField + endOfHead + Body[:2]},
		{Name: "chunks", rest: chunksField + endOfHead + chunkedBody, whole: true},
		{Name: "chunks, part of a chunk", rest: chunksField + endOfHead + chunkedBody[:5]},
		{Name: "chunks, no last one", rest: chunksField + endOfHead + "4\r\n" + Body + "\r\n"},
		{Name: "part of a head", rest: "X-Field: 2\r\n"},
	}
}

// resetRuns is how often a test repeats a response that is reset while its request is written: the
// writer and the reader race for the error of the connection.
const resetRuns = 10

// Runs returns how often a test repeats a response whose connection ends in a way, so that it shows a
// fault of a client that is seen in one run of two.
func (e End) Runs() int {
	if e == EndReset {
		return resetRuns
	}
	return 1
}

// Ends returns the ways to end a connection.
func Ends() map[string]End {
	return map[string]End{"FIN": EndFIN, "FIN, then close": EndFINThenClose, "reset": EndReset}
}
