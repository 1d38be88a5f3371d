package front

import (
	"errors"

	"wrenford/internal/traffic"
)

const (
	// maxArgs, maxInline and maxCommand bound one command. A body may hold MaxBody; the rest is short.
	maxArgs, maxInline = 16, 1024
	maxCommand         = traffic.MaxBody + 4096
)

// errFrame is what a client reads whose bytes are no command that the relay could have.
var errFrame = errors.New("command too long or malformed")

type frame int

const (
	atStart frame = iota
	inLine
	inCount
	atSize
	inSize
	inText
	atEnd
)

// guard follows the framing of commands in front of redcon's own parser. That one trusts what it reads: it
// buffers a command of any announced size, loops over any announced count, and a size near the largest
// integer makes it index out of range. The guard passes on only what stays within the bounds.
type guard struct {
	at    frame
	n     int // digits or bytes of the present part
	value int
	args  int  // still to come
	total int  // bytes of the command
	inked bool // the inline command is more than blanks, which the parser passes over

	whole int  // commands that ended
	fresh bool // one did since this was unset
}

// end is the end of a command.
func (g *guard) end() {
	g.at, g.total, g.whole, g.fresh = atStart, 0, g.whole+1, true
}

// Feed says how many of the bytes may be passed on; with an error, what follows them may not.
func (g *guard) Feed(b []byte) (int, error) {
	for i := 0; i < len(b); i++ {
		if g.at == inText && g.value > 0 { // the body in one stride
			step := min(g.value, len(b)-i)
			g.value -= step
			i += step - 1
			continue
		}
		if err := g.byte(b[i]); err != nil {
			return i, err
		}
	}
	return len(b), nil
}

func (g *guard) byte(c byte) error {
	switch g.at {
	case atStart:
		g.n, g.value, g.total, g.inked = 0, 0, 0, c != ' ' && c != '\r'
		if c == '*' {
			g.at = inCount
		} else if c != '\n' {
			g.at = inLine
		}
	case inLine:
		if g.n++; c == '\n' && g.inked {
			g.end()
		} else if c == '\n' {
			g.at = atStart
		} else if g.inked = g.inked || c != ' ' && c != '\r'; g.n > maxInline {
			return errFrame
		}
	case inCount, inSize:
		return g.number(c)
	case atSize:
		if c != '$' {
			return errFrame
		}
		g.n, g.value, g.at = 0, 0, inSize
	case inText: // all bytes have come: the line's end is due
		if c != '\r' {
			return errFrame
		}
		g.at = atEnd
	case atEnd:
		if c != '\n' {
			return errFrame
		}
		if g.args--; g.args == 0 {
			g.end()
		} else {
			g.at = atSize
		}
	}
	return nil
}

// number reads digits up to the line's end; n turns negative once the carriage return has come.
func (g *guard) number(c byte) error {
	switch {
	case c >= '0' && c <= '9' && g.n >= 0 && g.n < 8:
		g.n, g.value = g.n+1, g.value*10+int(c-'0')
		return nil
	case c == '\r' && g.n > 0:
		g.n = -1
		return nil
	case c != '\n' || g.n != -1:
		return errFrame
	}
	if g.at == inCount {
		if g.args = g.value; g.args < 1 || g.args > maxArgs {
			return errFrame
		}
		g.at = atSize
		return nil
	}
	if g.total += g.value; g.total > maxCommand {
		return errFrame
	}
	g.at = inText
	return nil
}
