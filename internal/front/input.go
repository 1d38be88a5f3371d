package front

// maxFramingBytes bounds the bytes of a command that do not belong to its arguments: at most maxArgs sizes of up to 8 digits, the count and
// the line ends.
const maxFramingBytes = 256

// inputBuffer holds the input of one connection that is not handled yet. Its size is fixed, except for a command that does not fit: a larger
// buffer then takes its place until the command is handled. The caller reserves the memory before.
type inputBuffer struct {
	bytes     []byte      // small, or a larger buffer of the pool
	small     []byte      // the buffer of the connection
	pool      *bufferPool // of larger buffers
	begin     int         // start of the current command
	checked   int         // end of the part of the current command that is kept: all that the guard has read, without a refused body
	unchecked int         // start of the input that the guard has not read
	end       int         // end of the input
}

// newInputBuffer returns an empty buffer of the given size in bytes.
func newInputBuffer(size int, pool *bufferPool) inputBuffer {
	small := make([]byte, size)
	return inputBuffer{bytes: small, small: small, pool: pool}
}

// space returns the free part of the buffer, which is never empty. missing is the number of bytes that the current command is known to need
// beyond what has arrived. All input must have been scanned.
func (in *inputBuffer) space(missing int) []byte {
	copy(in.bytes, in.bytes[in.begin:in.checked])
	in.checked -= in.begin
	in.begin, in.unchecked, in.end = 0, in.checked, in.checked
	if in.end == len(in.bytes) || in.end+missing > len(in.bytes) {
		larger := in.pool.take(in.end + max(missing, 1))
		copy(larger, in.bytes[:in.end])
		in.returnLarge()
		in.bytes = larger
	}
	if !in.isLarge() {
		return in.bytes[in.end:]
	}
	// What follows the command would keep the larger buffer in use.
	wanted := missing
	if wanted == 0 {
		wanted = maxFramingBytes
	}
	return in.bytes[in.end:min(in.end+wanted, len(in.bytes))]
}

// returnLarge returns a larger buffer to the pool. The caller replaces in.bytes.
func (in *inputBuffer) returnLarge() {
	if in.isLarge() {
		in.pool.put(in.bytes)
	}
}

// added records that n bytes were written to the space.
func (in *inputBuffer) added(n int) { in.end += n }

// scan passes unchecked input to the guard, up to its next result.
func (in *inputBuffer) scan(g *guard) (scanResult, error) {
	dropped := g.dropBody && g.state != atStart // of the current command, and not of the one before
	consumed, result, err := g.next(in.bytes[in.unchecked:in.end])
	in.unchecked += consumed
	if !dropped {
		in.checked = in.unchecked
	}
	if result == blankLine {
		in.discardCommand()
	}
	return result, err
}

// command returns the current command, up to a refused body. It is valid until discardCommand or space is called.
func (in *inputBuffer) command() []byte { return in.bytes[in.begin:in.checked] }

// discardCommand removes the current command. A larger buffer goes back to the pool: space lets in at most maxFramingBytes behind its command.
func (in *inputBuffer) discardCommand() {
	in.begin, in.checked = in.unchecked, in.unchecked
	if rest := in.end - in.unchecked; in.isLarge() {
		copy(in.small, in.bytes[in.unchecked:in.end])
		in.returnLarge()
		in.bytes = in.small
		in.begin, in.checked, in.unchecked, in.end = 0, 0, 0, rest
	}
}

// unscannedBytes returns how much of the input the guard has not read.
func (in *inputBuffer) unscannedBytes() int { return in.end - in.unchecked }

// isLarge reports whether a larger buffer is in use.
func (in *inputBuffer) isLarge() bool { return len(in.bytes) > len(in.small) }

// free returns a larger buffer to the pool and drops all input.
func (in *inputBuffer) free() {
	in.returnLarge()
	*in = inputBuffer{}
}
