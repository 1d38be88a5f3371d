package front

import (
	"errors"
	"strings"

	"slatemux/internal/traffic"
)

const (
	maxArgs        = 16
	maxInlineBytes = 1024
	// maxCommandBytes leaves 4096 bytes for everything but the body, which is short.
	maxCommandBytes = traffic.MaxBody + 4096
)

// errBadFrame is the reply to bytes that are not a valid command within the bounds.
var errBadFrame = errors.New("command too long or malformed")

// parseState is the position of the guard within a command.
type parseState int

const (
	atStart parseState = iota
	inInlineCommand
	inCount
	beforeSize
	inSize
	inArgument
	afterArgument
)

// guard checks the framing of commands before redcon's parser sees them, and finds their ends. The parser does not bound its input: it
// loops over any announced count, indexes out of range on a size near the largest integer, and copies all commands of its input at once.
// The guard passes on only what stays within the bounds, one command at a time.
type guard struct {
	state        parseState
	partBytes    int // digits or bytes read of the current part; -1 after the carriage return of a number
	value        int
	argsLeft     int  // still to come
	commandBytes int  // bytes in the arguments of the command
	notBlank     bool // the inline command is not blank; the parser ignores blank ones

	completed int // number of complete commands

	// For a submission: the parts before its body, and the decision made on them.
	argIndex  int    // index of the current argument; 0 is the command's name
	name      []byte // the command's name
	fields    []byte // the submission's fields
	sizeStart int    // start of the body's size line among the bytes that this call of next passes on; -1 if it began in an earlier call
	decide    func(fields []byte, size int) (refused bool)
	dropBody  bool // the submission is refused: its body is not passed on
	passed    int  // bytes of the current call of next that are passed on so far
}

// scanResult is what a call of next has found.
type scanResult int

const (
	unfinished      scanResult = iota // all input was read, and the command has not ended
	commandComplete                   // a command has ended
	blankLine                         // an empty command has ended, which has no answer
)

// endCommand records the end of a command.
func (g *guard) endCommand() {
	g.state, g.commandBytes, g.completed = atStart, 0, g.completed+1
}

// next reads input up to the end of a command. It returns how many bytes it has read and how many of them, moved to the start of b, may be
// passed on. After an error, no later bytes may be passed on. If decide refuses a submission before its body, next removes the body from
// b in place and leaves an empty one.
func (g *guard) next(b []byte) (consumed, passed int, result scanResult, err error) {
	g.passed, g.sizeStart = 0, -1
	completedBefore := g.completed
	for i := 0; i < len(b); i++ {
		if g.state == inArgument && g.value > 0 { // consume the argument's bytes in one step
			step := min(g.value, len(b)-i)
			g.value -= step
			g.collect(b[i : i+step])
			if !g.dropBody {
				g.passed += g.passOn(b, i, step)
			}
			i += step - 1
			continue
		}
		if g.state == beforeSize {
			g.sizeStart = g.passed
		}
		if err := g.consume(b[i]); err != nil {
			return i, g.passed, unfinished, err
		}
		g.passed += g.passOn(b, i, 1)
		if g.state == inArgument && g.partBytes == -1 { // a size line has just ended
			g.partBytes = 0
			g.checkBody(b)
		}
		if g.state == atStart && g.completed > completedBefore {
			return i + 1, g.passed, commandComplete, nil
		} else if g.state == atStart {
			return i + 1, g.passed, blankLine, nil
		}
	}
	return len(b), g.passed, unfinished, nil
}

// missingBytes returns how many bytes the current command is known to need before its current argument ends, and that are to be kept.
func (g *guard) missingBytes() int {
	if g.state != inArgument || g.dropBody {
		return 0
	}
	return g.value + len("\r\n")
}

// passOn moves bytes to the end of those already passed. They are in place unless earlier bytes were removed.
func (g *guard) passOn(b []byte, from, n int) int {
	if g.passed != from {
		copy(b[g.passed:], b[from:from+n])
	}
	return n
}

// Indexes of a submission's body and fields among the arguments of the command, counted from the command's name.
const (
	bodyArgIndex   = 4
	fieldsArgIndex = 3
)

// collect keeps the parts of the command that decide needs.
func (g *guard) collect(b []byte) {
	switch {
	case g.decide == nil:
	case g.argIndex == 0 && len(g.name)+len(b) <= 16:
		g.name = append(g.name, b...)
	case g.argIndex == fieldsArgIndex && len(g.fields)+len(b) <= maxInlineBytes:
		g.fields = append(g.fields, b...)
	}
}

// checkBody calls decide if the size just read is that of a submission's body and its size line can still be changed. Otherwise
// admission decides once the command is complete.
func (g *guard) checkBody(b []byte) {
	if g.decide == nil || g.argIndex != bodyArgIndex || g.argsLeft != 1 || g.sizeStart < 0 || len(g.fields) == 0 ||
		!strings.EqualFold(string(g.name), "MSG.PUT") || !g.decide(g.fields, g.value) {
		return
	}
	g.dropBody = true
	g.commandBytes -= g.value
	g.passed = g.sizeStart + copy(b[g.sizeStart:], "$0\r\n")
}

// consume advances the state by one byte.
func (g *guard) consume(c byte) error {
	switch g.state {
	case atStart:
		g.partBytes, g.value, g.commandBytes, g.notBlank = 0, 0, 0, c != ' ' && c != '\r'
		g.argIndex, g.dropBody, g.name, g.fields = 0, false, g.name[:0], g.fields[:0]
		if c == '*' {
			g.state = inCount
		} else if c != '\n' {
			g.state = inInlineCommand
		}
	case inInlineCommand:
		if g.partBytes++; c == '\n' && g.notBlank {
			g.endCommand()
		} else if c == '\n' {
			g.state = atStart
		} else if g.notBlank = g.notBlank || c != ' ' && c != '\r'; g.partBytes > maxInlineBytes {
			return errBadFrame
		}
	case inCount, inSize:
		return g.consumeDigit(c)
	case beforeSize:
		if c != '$' {
			return errBadFrame
		}
		g.partBytes, g.value, g.state = 0, 0, inSize
	case inArgument: // all bytes have arrived; the line must end here
		if c != '\r' {
			return errBadFrame
		}
		g.state = afterArgument
	case afterArgument:
		if c != '\n' {
			return errBadFrame
		}
		g.argIndex++
		if g.argsLeft--; g.argsLeft == 0 {
			g.endCommand()
		} else {
			g.state = beforeSize
		}
	}
	return nil
}

// consumeDigit reads a number up to the end of its line. partBytes is -1 after the carriage return.
func (g *guard) consumeDigit(c byte) error {
	switch {
	case c >= '0' && c <= '9' && g.partBytes >= 0 && g.partBytes < 8:
		g.partBytes, g.value = g.partBytes+1, g.value*10+int(c-'0')
		return nil
	case c == '\r' && g.partBytes > 0:
		g.partBytes = -1
		return nil
	case c != '\n' || g.partBytes != -1:
		return errBadFrame
	}
	if g.state == inCount {
		if g.argsLeft = g.value; g.argsLeft < 1 || g.argsLeft > maxArgs {
			return errBadFrame
		}
		g.state = beforeSize
		return nil
	}
	if g.commandBytes += g.value; g.commandBytes > maxCommandBytes {
		return errBadFrame
	}
	g.state = inArgument
	return nil
}
