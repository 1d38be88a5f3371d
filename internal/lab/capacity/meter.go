package capacity

import (
	"slices"
	"time"

	"slatemux/internal/lab/emulator"
)

// Bytes are counted in bins of this width. Peaks are the maxima over all windows of a short and a long duration.
const (
	binWidth        = 100 * time.Millisecond
	shortWindow     = time.Second
	longWindow      = 10 * time.Second
	shortWindowBins = int(shortWindow / binWidth)
	longWindowBins  = int(longWindow / binWidth)
	p99Share        = 0.99
)

// meter counts the bytes and packets that the relays send, and the bytes that they receive.
type meter struct {
	start    emulator.Time
	bins     int
	sent     [][]uint32 // bytes, by relay and bin
	received [][]uint32 // bytes, by relay and bin
	packets  []int64    // packets sent, by relay
}

func newMeter(relays int, start emulator.Time, length time.Duration) *meter {
	m := &meter{start: start, bins: int((length + binWidth - 1) / binWidth),
		sent: make([][]uint32, relays), received: make([][]uint32, relays), packets: make([]int64, relays)}
	for i := range relays {
		m.sent[i], m.received[i] = make([]uint32, m.bins), make([]uint32, m.bins)
	}
	return m
}

// binAt returns the index of the bin of a time, and whether the time is within the measured time.
func (m *meter) binAt(now emulator.Time) (int, bool) {
	at := int((now - m.start).Duration() / binWidth)
	return at, now >= m.start && at < m.bins
}

func (m *meter) recordSent(now emulator.Time, relay, bytes int) {
	if at, ok := m.binAt(now); ok {
		m.sent[relay][at] += uint32(bytes)
		m.packets[relay]++
	}
}

func (m *meter) recordReceived(now emulator.Time, relay, bytes int) {
	if at, ok := m.binAt(now); ok {
		m.received[relay][at] += uint32(bytes)
	}
}

// Distribution summarizes a quantity over the relays. Busiest is the maximum.
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
	return Distribution{Mean: sum / float64(len(list)), P99: list[rank(len(list), p99Share)-1], Busiest: list[len(list)-1]}
}

// Peak is the maximum rate over all windows, in bytes per second. Busiest is the maximum of any relay, and Mean is the maximum of the
// mean over all relays.
type Peak struct {
	Busiest float64 `json:"busiest"`
	Mean    float64 `json:"mean"`
}

// Traffic summarizes the network traffic of the relays in a run.
type Traffic struct {
	Sent           Distribution `json:"sent_bytes_per_s"`
	Received       Distribution `json:"received_bytes_per_s"`
	Packets        Distribution `json:"sent_packets_per_s"`
	Peak1s         Peak         `json:"peak_1s_sent_bytes_per_s"`
	Peak10s        Peak         `json:"peak_10s_sent_bytes_per_s"`
	PeakReceived1s Peak         `json:"peak_1s_received_bytes_per_s"`
}

// traffic summarizes the traffic of the relays that include selects.
func (m *meter) traffic(include func(relay int) bool) Traffic {
	lengthSeconds := float64(m.bins) * binWidth.Seconds()
	var sent, received, packets []float64
	for relay := range m.sent {
		if include(relay) {
			sent = append(sent, float64(sumBins(m.sent[relay]))/lengthSeconds)
			received = append(received, float64(sumBins(m.received[relay]))/lengthSeconds)
			packets = append(packets, float64(m.packets[relay])/lengthSeconds)
		}
	}
	return Traffic{Sent: distributionOf(sent), Received: distributionOf(received), Packets: distributionOf(packets),
		Peak1s: m.peak(m.sent, shortWindowBins, include), Peak10s: m.peak(m.sent, longWindowBins, include),
		PeakReceived1s: m.peak(m.received, shortWindowBins, include)}
}

func sumBins(bins []uint32) (sum int64) {
	for _, n := range bins {
		sum += int64(n)
	}
	return sum
}

// peak returns the maximum rates over all windows. The length of a window is given in bins.
func (m *meter) peak(bins [][]uint32, window int, include func(relay int) bool) Peak {
	window = min(window, m.bins)
	windowSeconds := float64(window) * binWidth.Seconds()
	totalBytes := make([]int64, m.bins)
	busiestBytes, relays := int64(0), 0
	for relay, list := range bins {
		if !include(relay) {
			continue
		}
		relays++
		windowBytes := int64(0)
		for i, n := range list {
			totalBytes[i] += int64(n)
			windowBytes += int64(n)
			if i >= window {
				windowBytes -= int64(list[i-window])
			}
			busiestBytes = max(busiestBytes, windowBytes)
		}
	}
	p := Peak{Busiest: float64(busiestBytes) / windowSeconds}
	windowBytes, maxTotalBytes := int64(0), int64(0)
	for i, n := range totalBytes {
		windowBytes += n
		if i >= window {
			windowBytes -= totalBytes[i-window]
		}
		maxTotalBytes = max(maxTotalBytes, windowBytes)
	}
	if relays > 0 {
		p.Mean = float64(maxTotalBytes) / windowSeconds / float64(relays)
	}
	return p
}
