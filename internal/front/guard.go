package front

import (
	"errors"
	"strings"

	"slatemux/internal/traffic"
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

	// Of a command that hands in: what stands before its body, and what is ruled on it then.
	arg    int    // number of the present part
	first  []byte // of the command's name
	fields []byte // of its names and values
	sizeAt int    // where the body's size line begins in the bytes being fed; -1 if it began before them
	rule   func(fields []byte, size int) (refused bool)
	drop   bool // the body is refused: it is not passed on
	kept   int  // bytes of the present Feed that are passed on so far
}

// end is the end of a command.
func (g *guard) end() {
	g.at, g.total, g.whole, g.fresh = atStart, 0, g.whole+1, true
}

// Feed says how many of the bytes may be passed on; with an error, what follows them may not. Where a rule
// refuses a command before its body, the body is cut out of the bytes in place, and an empty one stands for it.
func (g *guard) Feed(b []byte) (int, error) {
	g.kept, g.sizeAt = 0, -1
	for i := 0; i < len(b); i++ {
		if g.at == inText && g.value > 0 { // the body in one stride
			step := min(g.value, len(b)-i)
			g.value -= step
			g.sniff(b[i : i+step])
			if !g.drop {
				g.kept += g.keep(b, i, step)
			}
			i += step - 1
			continue
		}
		if g.at == atSize {
			g.sizeAt = g.kept
		}
		err := g.byte(b[i])
		if err != nil {
			return g.kept, err
		}
		g.kept += g.keep(b, i, 1)
		if g.at == inText && g.n == -1 { // a size line has just ended
			g.n = 0
			g.sized(b)
		}
	}
	return g.kept, nil
}

// keep moves bytes to where the kept ones end, which is where they are unless something was cut out before them.
func (g *guard) keep(b []byte, from, n int) int {
	if g.kept != from {
		copy(b[g.kept:], b[from:from+n])
	}
	return n
}

// bodyArg and fieldsArg are the numbers of a hand-in's body and of its names and values, counted from its name.
const bodyArg, fieldsArg = 4, 3

// sniff keeps the parts that a rule is told of.
func (g *guard) sniff(b []byte) {
	switch {
	case g.rule == nil:
	case g.arg == 0 && len(g.first)+len(b) <= 16:
		g.first = append(g.first, b...)
	case g.arg == fieldsArg && len(g.fields)+len(b) <= maxInline:
		g.fields = append(g.fields, b...)
	}
}

// sized asks the rule, if the size that has just been read is that of a hand-in's body and its line can still be
// changed. Otherwise the command is ruled on once it is whole.
func (g *guard) sized(b []byte) {
	if g.rule == nil || g.arg != bodyArg || g.args != 1 || g.sizeAt < 0 || len(g.fields) == 0 ||
		!strings.EqualFold(string(g.first), "MSG.PUT") || !g.rule(g.fields, g.value) {
		return
	}
	g.drop = true
	g.total -= g.value
	g.kept = g.sizeAt + copy(b[g.sizeAt:], "$0\r\n")
}

func (g *guard) byte(c byte) error {
	switch g.at {
	case atStart:
		g.n, g.value, g.total, g.inked = 0, 0, 0, c != ' ' && c != '\r'
		g.arg, g.drop, g.first, g.fields = 0, false, g.first[:0], g.fields[:0]
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
		g.arg++
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
