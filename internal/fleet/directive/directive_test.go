package directive

import "testing"

// Guards against entries that are misread: an unknown key, value or number format has no directive.
func TestParse(t *testing.T) {
	for _, c := range []struct {
		key, value string
		want       Directive
		known      bool
	}{
		{"endpoint/s-5be2a07c", "down", Directive{Kind: EndpointDown, Endpoint: "s-5be2a07c"}, true},
		{"endpoint/a/b", "down", Directive{Kind: EndpointDown, Endpoint: "a/b"}, true},
		{"destination/0", "closed", Directive{Kind: DestinationClosed}, true},
		{"destination/7", "closed", Directive{Kind: DestinationClosed, Destination: 7}, true},
		{key: "endpoint/s-5be2a07c", value: "up"},
		{key: "endpoint/s-5be2a07c"},
		{key: "endpoint/", value: "down"},
		{key: "endpoint", value: "down"},
		{key: "Endpoint/x", value: "down"},
		{key: "destination/7", value: "down"},
		{key: "destination/07", value: "closed"},
		{key: "destination/+7", value: "closed"},
		{key: "destination/-7", value: "closed"},
		{key: "destination/99999999999", value: "closed"},
		{key: "destination/", value: "closed"},
		{key: "rate/7", value: "100"},
		{},
	} {
		got, known := Parse(c.key, []byte(c.value))
		if known != c.known || known && got != c.want {
			t.Errorf("%q, %q: %+v, %v", c.key, c.value, got, known)
		}
	}
}

// Guards against lookups that differ from the entries, after values were set, replaced and removed.
func TestSet(t *testing.T) {
	set := NewSet()
	if !set.Empty() || set.Excludes("m", 7) {
		t.Error("an empty set excludes an endpoint")
	}
	set.Put("endpoint/m", []byte("down"))
	set.Put("destination/7", []byte("closed"))
	set.Put("rate/1", []byte("down"))
	set.Put("destination/01", []byte("closed"))
	set.Remove("destination/07")
	set.Remove("endpoint/other")
	for _, c := range []struct {
		endpoint    string
		destination int
		want        bool
	}{{"m", 1, true}, {"n", 7, true}, {"m", 7, true}, {"n", 1, false}, {"", 0, false}} {
		if got := set.Excludes(c.endpoint, c.destination); got != c.want {
			t.Errorf("%q of %d: %v", c.endpoint, c.destination, got)
		}
	}
	if set.Empty() {
		t.Error("the set excludes an endpoint and is reported as empty")
	}
	set.Put("endpoint/m", []byte("a value of a later build"))
	if set.Excludes("m", 1) || !set.Excludes("m", 7) {
		t.Error("an entry with an unknown value excludes an endpoint, or the other entry does not")
	}
	set.Remove("destination/7")
	if !set.Empty() || set.Excludes("m", 7) {
		t.Error("a removed entry excludes an endpoint")
	}
}
