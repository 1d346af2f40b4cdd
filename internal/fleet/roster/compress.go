package roster

import (
	"bytes"
	"compress/flate"
	"io"

	gd "github.com/geraniumdock/geraniumdock"
)

// compress compresses an encoded policy. Policies compress well because their routes
// are similar, and traffic between data centres costs money.
func compress(raw []byte) []byte {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is valid
	}
	_, _ = w.Write(raw) // a bytes.Buffer never fails
	_ = w.Close()
	return buf.Bytes()
}

// decompress reverses compress.
func decompress(data []byte) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), gd.MaxObjectBytes+1))
	if err != nil {
		return nil, gd.Malformed.Wrapf(err, "compressed policy")
	}
	if len(raw) > gd.MaxObjectBytes {
		return nil, gd.TooLarge.Errorf("the policy is larger than %d bytes", gd.MaxObjectBytes)
	}
	return raw, nil
}
