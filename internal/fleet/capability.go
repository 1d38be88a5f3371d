package fleet

import (
	"bytes"
	"encoding/binary"
)

// capabilityVersion is the version of the metadata with which a relay announces that it replicates configuration. A build
// without replication announces nothing. Bytes after the zone are reserved for later builds.
const capabilityVersion = 1

// maxLocationBytes bounds the name of a region or zone, so that the metadata fits memberlist's limit of 512 bytes.
const maxLocationBytes = 64

// regionAndZone is the location of a relay.
type regionAndZone struct {
	region, zone string
}

// encodeCapability returns the metadata of a relay that replicates configuration.
func encodeCapability(at regionAndZone) []byte {
	b := []byte{capabilityVersion}
	b = appendText(b, at.region)
	return appendText(b, at.zone)
}

// decodeCapability reads the metadata of a member. It returns false for a member that replicates no configuration.
func decodeCapability(meta []byte) (at regionAndZone, ok bool) {
	version, rest, ok := cutByte(meta)
	if !ok || version != capabilityVersion {
		return regionAndZone{}, false
	}
	if at.region, rest, ok = cutText(rest); !ok {
		return regionAndZone{}, false
	}
	if at.zone, _, ok = cutText(rest); !ok {
		return regionAndZone{}, false
	}
	return at, true
}

// appendText appends a text with its length in bytes before it.
func appendText(b []byte, text string) []byte {
	b = binary.AppendUvarint(b, uint64(len(text)))
	return append(b, text...)
}

// cutByte returns the first byte, and the bytes after it.
func cutByte(b []byte) (first byte, rest []byte, ok bool) {
	if len(b) == 0 {
		return 0, nil, false
	}
	return b[0], b[1:], true
}

// cutText reads a text that appendText has written, and returns the bytes after it.
func cutText(b []byte) (text string, rest []byte, ok bool) {
	length, b, ok := readUvarint(b)
	if !ok || length > maxLocationBytes || length > uint64(len(b)) || bytes.IndexByte(b[:length], 0) >= 0 {
		return "", nil, false
	}
	return string(b[:length]), b[length:], true
}
