package front

import (
	"bytes"
	"errors"

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
// loops over any announced count, and indexes out of range on a size near the largest integer.
type guard struct {
	state        parseState
	partBytes    int // digits or bytes read of the current part; -1 after the carriage return of a number
	value        int
	argsLeft     int  // still to come
	commandBytes int  // bytes in the arguments of the command that are to be kept
	notBlank     bool // the inline command is not blank; the parser ignores blank ones
	completed    int  // number of complete commands

	argIndex int                // index of the current argument; 0 is the command's name
	offset   int                // bytes of the command so far
	args     [bodyArgIndex]span // of the command, before a submission's body
	dropBody bool               // the submission is refused: its body is not kept
}

// span is a part of a command.
type span struct{ start, end int }

// Indexes of a submission's name, fields and body among the arguments of the command.
const (
	nameArgIndex   = 0
	fieldsArgIndex = 3
	bodyArgIndex   = 4
)

// scanResult is what a call of next has found.
type scanResult int

const (
	unfinished      scanResult = iota // all input was read, and the command has not ended
	bodyAnnounced                     // the size of the last of five arguments, the body if the command is a submission
	commandComplete                   // a command has ended
	blankLine                         // an empty command has ended, which has no answer
)

// endCommand records the end of a command.
func (g *guard) endCommand() {
	g.state, g.commandBytes, g.completed = atStart, 0, g.completed+1
}

// next reads input up to the next result and returns how many bytes it has read. After an error, no later bytes may be used.
func (g *guard) next(b []byte) (consumed int, result scanResult, err error) {
	completedBefore := g.completed
	for i := 0; i < len(b); i++ {
		if g.state == inArgument && g.value > 0 { // consume the argument's bytes in one step
			step := min(g.value, len(b)-i)
			g.value -= step
			g.offset += step
			i += step - 1
			continue
		}
		if err := g.consume(b[i]); err != nil {
			return i, unfinished, err
		}
		g.offset++
		switch {
		case g.state == inArgument && g.partBytes == -1: // a size line has just ended
			g.partBytes = 0
			if g.argIndex < bodyArgIndex {
				g.args[g.argIndex] = span{g.offset, g.offset + g.value}
			} else if g.argIndex == bodyArgIndex && g.argsLeft == 1 {
				return i + 1, bodyAnnounced, nil
			}
		case g.state == atStart && g.completed > completedBefore:
			return i + 1, commandComplete, nil
		case g.state == atStart:
			return i + 1, blankLine, nil
		}
	}
	return len(b), unfinished, nil
}

// submissionFields returns the fields of a submission whose body was announced, or nothing if the command is none. command holds its bytes
// so far.
func (g *guard) submissionFields(command []byte) []byte {
	name, fields := g.args[nameArgIndex], g.args[fieldsArgIndex]
	if !bytes.EqualFold(command[name.start:name.end], submitName) {
		return nil
	}
	return command[fields.start:fields.end]
}

// refuseBody makes the guard drop the body that was announced.
func (g *guard) refuseBody() {
	g.dropBody = true
	g.commandBytes -= g.value
}

// missingBytes returns how many bytes the current command is known to need before its current argument ends, and that are to be kept.
func (g *guard) missingBytes() int {
	if g.state != inArgument || g.dropBody {
		return 0
	}
	return g.value + len("\r\n")
}

// consume advances the state by one byte.
func (g *guard) consume(c byte) error {
	switch g.state {
	case atStart:
		g.partBytes, g.value, g.commandBytes, g.notBlank = 0, 0, 0, c != ' ' && c != '\r'
		g.argIndex, g.offset, g.dropBody = 0, 0, false
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
