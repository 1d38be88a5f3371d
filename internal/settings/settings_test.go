package settings

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"slatemux/internal/dispatch"
	"slatemux/internal/proptest"
)

func exampleSettings(t *testing.T) []byte {
	raw, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	var file struct{ Settings json.RawMessage }
	if err := json.Unmarshal(raw, &file); err != nil {
		t.Fatal(err)
	}
	return file.Settings
}

func TestParse(t *testing.T) {
	set, err := Parse(exampleSettings(t))
	if err != nil {
		t.Fatal(err)
	}
	if len(set.Classes) != 2 || set.MaxCalls != 16 || set.MaxOpen != 200 || set.Weights != dispatch.RoughWeights ||
		set.Resolution != 5*time.Millisecond || !set.LateByHalves || set.Safety.Ramp != 13*time.Second {
		t.Errorf("settings %+v", set)
	}
	want := dispatch.Class{Name: "order-payment", Effect: dispatch.Keyed, DedupTTL: 15 * time.Second, Aim: 4 * time.Second,
		Deadline: 28 * time.Second, Worth: 1, LateWorth: 0.5}
	if set.Classes[0] != want {
		t.Errorf("class %+v, want %+v", set.Classes[0], want)
	}
}

func TestParseNamesInvalidValue(t *testing.T) {
	text := string(exampleSettings(t))
	for change, want := range map[[2]string]string{{`"safe"`, `"maybe"`}: "maybe", {`"rough"`, `"live"`}: "live",
		{`"slo-ms": 4000`, `"slo-ms": "4 s"`}: "slo-ms"} {
		if _, err := Parse([]byte(strings.Replace(text, change[0], change[1], 1))); err == nil ||
			!strings.Contains(err.Error(), want) {
			t.Errorf("with %s: error %v", change[1], err)
		}
	}
	proptest.Check(t, func(t *rapid.T) { // the module accepts or refuses whatever Parse accepts, without a panic
		if set, err := Parse(proptest.Malformed(t, []byte(text))); err == nil {
			_, _ = dispatch.New(set, 1)
		}
	})
}

// Settings without these times still start, and the defaults allow calls.
func TestDefaultTimes(t *testing.T) {
	var all map[string]any
	if err := json.Unmarshal(exampleSettings(t), &all); err != nil {
		t.Fatal(err)
	}
	limits := all["limits"].(map[string]any)
	delete(limits, "connect-timeout-ms")
	delete(limits, "keepalive-ms")
	delete(all, "resolution-ms")
	delete(all, "safety")
	text, err := json.Marshal(all)
	if err != nil {
		t.Fatal(err)
	}
	set, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	if set.ConnectTimeout <= 0 || set.KeepAlive <= 0 || set.Resolution <= 0 || set.Safety.DrainGrace <= 0 {
		t.Errorf("settings %+v", set)
	}
	if _, err := dispatch.New(set, 1); err != nil {
		t.Error(err)
	}
}
