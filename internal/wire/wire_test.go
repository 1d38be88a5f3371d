package wire

import (
	"bufio"
	"strings"
	"testing"

	"slatemux/internal/dispatch"
)

const settingsLine = `{"classes":[{"deadline-ms":9000,"dedup-scope":"all","late-worth":0.5,"name":"c",` +
	`"repeat":"safe","slo-ms":1000,"value":1}],"kinds":["k"],"family-info":{"own-limits":[false],` +
	`"carriage":[0],"late":"halves","max-calls":4},"limits":{"connect-timeout-ms":500,"max-attempts":4,` +
	`"max-open":50},"localities":["z"],"peers-total":1,"resolution-ms":5,"zone":"z"}`

// startLines begins a batch that launches sender-0 with one endpoint.
const startLines = `{"msg":"tick","ts-ms":10}
{"msg":"launch","sender-id":"sender-0","entropy":1,"config":` + settingsLine + `}
{"msg":"list","list":0,"rows-in":[{"endpoint":"e","failure-domain":"z","flavor":"k","belongs-to":3,"readiness":"healthy"}]}
{"msg":"fleet","sender-id":"sender-0","form":"restored","serial":1,"list":0}
`

// serve returns the replies of Serve to the input.
func serve(in string) (string, error) {
	var out strings.Builder
	err := Serve(strings.NewReader(in), &out)
	return out.String(), err
}

// A request must be answered with an assign line, and each batch with one end line.
func TestRoundTrip(t *testing.T) {
	out, err := serve(startLines + `{"msg":"req","sender-id":"sender-0","handle":"ab","time-budget-ms":9000,"profile":"c","far-end":3,"later":1}
{"msg":"commit"}
{"msg":"tick","ts-ms":110.5}
{"msg":"reply","sender-id":"sender-0","handle":"ab","go":0,"endpoint":"e","code":0,"duration-ms":100.5,"settled":true,"report":{"x0":0.5,"x1":3}}
{"msg":"commit"}
{"msg":"tick","ts-ms":111}
{"msg":"commit"}
`)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out, `{"msg":"assign","sender-id":"sender-0","handle":"ab","endpoint":"e","cap-ms":`) {
		t.Errorf("no assign line in %s", out)
	}
	if n := strings.Count(out, `{"msg":"end"}`); n != 3 {
		t.Errorf("%d replies to 3 batches", n)
	}
}

// An instance that is powered off and launched again under the same sender id must not keep requests of the earlier run.
func TestRestart(t *testing.T) {
	out, err := serve(startLines + `{"msg":"req","sender-id":"sender-0","handle":"ab","time-budget-ms":9000,"profile":"c","far-end":3}
{"msg":"power-off","sender-id":"sender-0"}
{"msg":"launch","sender-id":"sender-0","entropy":2,"config":` + settingsLine + `}
{"msg":"commit"}
`)
	if err != nil || strings.Contains(out, "assign") {
		t.Errorf("error %v, reply %s", err, out)
	}
}

// Each kind of invalid input must stop Serve with an error that names the cause, and without a partial reply.
func TestBadInput(t *testing.T) {
	for name, c := range map[string]struct{ in, want string }{
		"no json":           {"nonsense\n", "line 1: not a message"},
		"outside a batch":   {`{"msg":"commit"}` + "\n", "line 1"},
		"no clock":          {`{"msg":"tick"}` + "\n", "ts-ms"},
		"unknown msg":       {startLines + `{"msg":"what","sender-id":"sender-0"}` + "\n", "line 5: what: unknown msg"},
		"no sender":         {startLines + `{"msg":"hangup","handle":"ab"}` + "\n", "sender-id"},
		"no handle":         {startLines + `{"msg":"hangup","sender-id":"sender-0"}` + "\n", "handle"},
		"mistyped":          {startLines + `{"msg":"req","sender-id":"sender-0","handle":7,"profile":"c"}` + "\n", "handle"},
		"undeclared list":   {startLines + `{"msg":"fleet","sender-id":"sender-0","form":"update","list":9}` + "\n", "list 9"},
		"unknown form":      {startLines + `{"msg":"fleet","sender-id":"sender-0","form":"odd","list":0}` + "\n", "odd"},
		"not running":       {startLines + `{"msg":"hangup","sender-id":"sender-8","handle":"ab"}` + "\n", "not running"},
		"no code":           {startLines + `{"msg":"reply","sender-id":"sender-0","handle":"ab","endpoint":"e"}` + "\n", "code"},
		"unknown code":      {startLines + `{"msg":"reply","sender-id":"sender-0","handle":"a","endpoint":"e","code":9}` + "\n", "code 9"},
		"settings":          {`{"msg":"tick","ts-ms":1}` + "\n" + `{"msg":"launch","sender-id":"s","config":{}}` + "\n", "Classes"},
		"settings mistyped": {`{"msg":"tick","ts-ms":1}` + "\n" + `{"msg":"launch","sender-id":"s","config":{"zone":1}}` + "\n", "zone"},
		"cut short":         {startLines, "inside a batch"},
	} {
		out, err := serve(c.in)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, wanted %q", name, err, c.want)
		}
		if out != "" {
			t.Errorf("%s: partial reply %q", name, out)
		}
	}
}

// Each type of action must be encoded as its own line.
func TestWriteAction(t *testing.T) {
	for want, a := range map[string]dispatch.Action{
		`{"msg":"drop-attempt","sender-id":"s","handle":"ab","go":2}`: dispatch.Cancel{ID: "ab", Attempt: 2},
		`{"msg":"abort","sender-id":"s","handle":"ab"}`:               dispatch.Fail{ID: "ab"},
		`{"msg":"test","sender-id":"s","endpoint":"e"}`:               dispatch.Probe{Endpoint: "e"},
		`{"msg":"tail","sender-id":"s","active":true}`:                dispatch.Watch{},
		`{"msg":"note-down","sender-id":"s","note-text":"x"}`:         dispatch.Log{Text: "x"},
	} {
		var buf strings.Builder
		s := &server{out: bufio.NewWriter(&buf)}
		s.writeAction("s", a)
		s.out.Flush()
		if got := strings.TrimSpace(buf.String()); got != want {
			t.Errorf("%T: %s, wanted %s", a, got, want)
		}
	}
}
