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
