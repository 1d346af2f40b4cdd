// Package seed derives seeds of random sources that differ between nodes.
package seed

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// ForNode returns a seed for a random source of the named node. Nodes that start together may
// have the same base, such as the time of their start. With equal seeds they would make the
// same choices: poll at the same time and send to the same nodes.
func ForNode(node string, base uint64) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(node), base))
}
