package persimmonport

import (
	"errors"

	"persimmonport.example/persimwire"
)

const (
	// maxTokenBytes is the average length of a token above which an answer is too long, in
	// bytes; tokens of natural languages and of code are shorter.
	maxTokenBytes = 64
	// shortAnswerTokens are added to the length of an answer, so that a short one may have
	// long tokens.
	shortAnswerTokens = 64
)

// errAnswerTooLong reports an engine that generates more than it was asked for.
var errAnswerTooLong = errors.New("answer is longer than requested")

// maxAnswerBytes returns the largest size of an answer with a number of tokens, in bytes.
func maxAnswerBytes(tokens int) int { return (tokens + shortAnswerTokens) * maxTokenBytes }

// answerLimit bounds what a host keeps of an answer.
type answerLimit struct {
	tokens, bytes int
	// kept is the size of the text so far, in bytes.
	kept int
}

// newAnswerLimit returns the limit for an answer that goes on after the tokens of a state. An
// answer whose length was not requested has at most maxTokens.
func newAnswerLimit(state *persimwire.Flight, maxTokens int) *answerLimit {
	l := &answerLimit{tokens: maxTokens}
	if requested := int(state.GetMaxTokens()); requested > 0 {
		l.tokens = requested
	}
	l.bytes = maxAnswerBytes(l.tokens)
	for _, token := range state.GetTokens() {
		l.kept += len(token)
	}
	return l
}

// add counts the token at an index. It returns errAnswerTooLong if the answer may not have it.
func (l *answerLimit) add(index int, text string) error {
	l.kept += len(text)
	if index >= l.tokens || l.kept > l.bytes {
		return errAnswerTooLong
	}
	return nil
}
