package body

import (
	"bytes"
	"io"
	"net/http"
)

// MaxHeld is how much of an answer is read before any of it is passed on, in
// bytes, so that one that is cut short can be told from a whole one.
const MaxPrefix = 64 << 10

// Hold reads the start of the answer's body and reports whether that is all of
// it. An error means that the answer was cut.
func Hold(res *http.Response) (prefix []byte, whole bool, err error) {
	var buf bytes.Buffer
	if res.ContentLength > 0 {
		buf.Grow(int(min(res.ContentLength, MaxPrefix)) + bytes.MinRead)
	}
	n, err := io.Copy(&buf, io.LimitReader(res.Body, MaxPrefix))
	if err != nil {
		return nil, false, err
	}
	return buf.Bytes(), n < MaxPrefix, nil
}

// WithHeld gives res a body that was read whole.
func WithHeld(res *http.Response, prefix []byte) {
	res.Body = io.NopCloser(bytes.NewReader(prefix))
	res.ContentLength = int64(len(prefix))
	res.TransferEncoding = nil
}

// Joined is a body whose start was read already.
type Joined struct {
	io.Reader
	io.Closer
}

// Join returns a body that begins with start and goes on with rest.
func Join(start []byte, rest io.ReadCloser) *Joined {
	return &Joined{io.MultiReader(bytes.NewReader(start), rest), rest}
}
