package capacity

import (
	"slices"
	"time"

	"slatemux/internal/lab/emulator"
)

// The finest span of which bytes are counted, and the windows in which peaks are looked for.
const (
	meterBin   = 100 * time.Millisecond
	peakShort  = time.Second
	peakLong   = 10 * time.Second
	shortBins  = int(peakShort / meterBin)
	longBins   = int(peakLong / meterBin)
	percentile = 0.99
)

// meter counts what relays send and receive.
type meter struct {
	from emulator.Time
	bins int
	sent [][]uint32 // bytes, by relay and bin
	got  [][]uint32
	// packets sent, by relay
	packets []int64
}

func newMeter(relays int, from emulator.Time, length time.Duration) *meter {
	m := &meter{from: from, bins: int((length + meterBin - 1) / meterBin), sent: make([][]uint32, relays), got: make([][]uint32, relays), packets: make([]int64, relays)}
	for i := range relays {
		m.sent[i], m.got[i] = make([]uint32, m.bins), make([]uint32, m.bins)
	}
	return m
}

// bin is the present one; no where nothing is measured.
func (m *meter) bin(now emulator.Time) (int, bool) {
	at := int((now - m.from).Duration() / meterBin)
	return at, now >= m.from && at < m.bins
}

func (m *meter) sends(now emulator.Time, relay, bytes int) {
	if at, ok := m.bin(now); ok {
		m.sent[relay][at] += uint32(bytes)
		m.packets[relay]++
	}
}

func (m *meter) receives(now emulator.Time, relay, bytes int) {
	if at, ok := m.bin(now); ok {
		m.got[relay][at] += uint32(bytes)
	}
}

// Distribution is of a figure over the relays.
type Distribution struct {
	Mean    float64 `json:"mean"`
	P99     float64 `json:"p99"`
	Busiest float64 `json:"busiest"`
}

func distributionOf(list []float64) Distribution {
	if len(list) == 0 {
		return Distribution{}
	}
	slices.Sort(list)
	sum := 0.0
	for _, x := range list {
		sum += x
	}
	return Distribution{Mean: sum / float64(len(list)), P99: list[rank(len(list), percentile)-1], Busiest: list[len(list)-1]}
}

// Peak is the most in any window, in bytes a second: of any relay, and of the mean of all relays.
type Peak struct {
	Busiest float64 `json:"busiest"`
	Mean    float64 `json:"mean"`
}

// Traffic is what the relays of a run sent and received.
type Traffic struct {
	Sent      Distribution `json:"sent_bytes_per_s"`
	Received  Distribution `json:"received_bytes_per_s"`
	Packets   Distribution `json:"sent_packets_per_s"`
	Peak1s    Peak         `json:"peak_1s_sent_bytes_per_s"`
	Peak10s   Peak         `json:"peak_10s_sent_bytes_per_s"`
	PeakGot1s Peak         `json:"peak_1s_received_bytes_per_s"`
}

// traffic sums up over the relays that are to count.
func (m *meter) traffic(counts func(relay int) bool) Traffic {
	length := float64(m.bins) * meterBin.Seconds()
	var sent, got, packets []float64
	for relay := range m.sent {
		if counts(relay) {
			sent = append(sent, float64(total(m.sent[relay]))/length)
			got = append(got, float64(total(m.got[relay]))/length)
			packets = append(packets, float64(m.packets[relay])/length)
		}
	}
	return Traffic{Sent: distributionOf(sent), Received: distributionOf(got), Packets: distributionOf(packets), Peak1s: m.peak(m.sent, shortBins, counts),
		Peak10s: m.peak(m.sent, longBins, counts), PeakGot1s: m.peak(m.got, shortBins, counts)}
}

func total(bins []uint32) (sum int64) {
	for _, n := range bins {
		sum += int64(n)
	}
	return sum
}

// peak looks through all windows of so many bins.
func (m *meter) peak(bins [][]uint32, window int, counts func(relay int) bool) Peak {
	window = min(window, m.bins)
	span := float64(window) * meterBin.Seconds()
	all := make([]int64, m.bins)
	most, relays := int64(0), 0
	for relay, list := range bins {
		if !counts(relay) {
			continue
		}
		relays++
		sum := int64(0)
		for i, n := range list {
			all[i] += int64(n)
			sum += int64(n)
			if i >= window {
				sum -= int64(list[i-window])
			}
			most = max(most, sum)
		}
	}
	p := Peak{Busiest: float64(most) / span}
	sum, mostOfAll := int64(0), int64(0)
	for i, n := range all {
		sum += n
		if i >= window {
			sum -= all[i-window]
		}
		mostOfAll = max(mostOfAll, sum)
	}
	if relays > 0 {
		p.Mean = float64(mostOfAll) / span / float64(relays)
	}
	return p
}
