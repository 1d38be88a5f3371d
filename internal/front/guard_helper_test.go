package front

import "bytes"

// commandScanner passes input to a guard through the buffer of a connection, as a connection does.
type commandScanner struct {
	guard  guard
	input  inputBuffer
	decide func(fields []byte, size int) (refused bool) // on a submission whose body is announced; nil admits all
}

// scannedCommand is a complete command. The text of a refused one ends before its body.
type scannedCommand struct {
	text    []byte
	refused bool
}

func newCommandScanner(decide func(fields []byte, size int) bool) *commandScanner {
	return &commandScanner{input: newInputBuffer(minConnBufferBytes, &bufferPool{maxFreeBytes: 1 << 20}), decide: decide}
}

// feed passes a piece of input on and returns the commands that are complete by then.
func (s *commandScanner) feed(piece []byte) (commands []scannedCommand, err error) {
	for len(piece) > 0 {
		n := copy(s.input.space(s.guard.missingBytes()), piece)
		s.input.added(n)
		piece = piece[n:]
		for result := blankLine; result != unfinished; {
			if result, err = s.input.scan(&s.guard); err != nil {
				return commands, err
			}
			switch result {
			case bodyAnnounced:
				if fields := s.guard.submissionFields(s.input.command()); s.decide != nil && fields != nil && s.decide(fields, s.guard.value) {
					s.guard.refuseBody()
				}
			case commandComplete:
				commands = append(commands, scannedCommand{bytes.Clone(s.input.command()), s.guard.dropBody})
				s.input.discardCommand()
			}
		}
	}
	return commands, nil
}
