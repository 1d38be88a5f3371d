package conns

import (
	"testing"
	"time"
)

// BenchmarkCall measures the decisions of one call on a reused connection, with 20 idle connections.
func BenchmarkCall(b *testing.B) {
	cfg := testConfig()
	cfg.MaxAge, cfg.MaxIdle = 0, time.Hour
	p, err := New(cfg)
	if err != nil {
		b.Fatal(err)
	}
	p.UpdateEndpoint("e", "addr", 0, true)
	now := time.Second
	var ids []ID
	for range 20 {
		_, id, _ := p.Call(now, "e")
		p.Opened(now, id, true)
		ids = append(ids, id)
	}
	for _, id := range ids {
		p.CallEnded(now, id, Answered, 20*ms)
	}
	b.ReportAllocs()
	for b.Loop() {
		now += ms / 100
		v, id, _ := p.Call(now, "e")
		if v != Use {
			b.Fatal(v)
		}
		p.CallEnded(now, id, Answered, 20*ms)
	}
}
