package front

// Feed passes a piece of input to the guard command by command. It returns how many bytes, moved to the start of b, the guard passes on.
func (g *guard) Feed(b []byte) (passed int, err error) {
	for consumed := 0; consumed < len(b); {
		n, kept, _, err := g.next(b[consumed:])
		passed += copy(b[passed:], b[consumed:consumed+kept])
		if consumed += n; err != nil {
			return passed, err
		}
	}
	return passed, nil
}
