package body

import (
	"bytes"
	"io"
	"net/http"
)

// MaxPrefix is the number of bytes of a response body that are read before any
// of it is forwarded. A response of up to this size that is cut short is
// detected before the caller has received a part of it.
const MaxPrefix = 64 << 10

// ReadPrefix reads up to MaxPrefix bytes of the response body and reports whether
// that is the complete body. An error means that the response was cut short.
func ReadPrefix(res *http.Response) (prefix []byte, whole bool, err error) {
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

// SetBody replaces the body of res by data, the complete body that was read from it.
func SetBody(res *http.Response, data []byte) {
	res.Body = io.NopCloser(bytes.NewReader(data))
	res.ContentLength = int64(len(data))
	res.TransferEncoding = nil
}

// Joined is a body whose first bytes have already been read. Close closes the
// rest of the body.
type Joined struct {
	io.Reader
	io.Closer
}

// Join returns a body that consists of start followed by rest.
func Join(start []byte, rest io.ReadCloser) *Joined {
	return &Joined{io.MultiReader(bytes.NewReader(start), rest), rest}
}
