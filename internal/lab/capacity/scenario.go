package capacity

import (
	"cmp"
	"errors"
	"fmt"
	"io/fs"
	"math"
	"os"
	"path"
	"regexp"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"

	files "slatemux/example/capacity"
	"slatemux/internal/lab/capacity/capacityv1"
)

//go:generate protoc -I ../../../proto --go_out=../../.. --go_opt=module=slatemux ../../../proto/slatemux/lab/v1/capacity.proto

// Bounds of scenarios.
const (
	maxLengthSeconds = 3600.0
	maxChanges       = 100_000
	maxDestinations  = 10_000_000
	maxValueBytes    = 1 << 10
)

// Defaults of scenarios.
const (
	defaultWarmUp         = 5 * time.Second
	defaultControlPoints  = 10
	defaultValueBytes     = 64
	defaultLimitPerRelay  = 4.0
	defaultWantedPerRelay = 5.2
	defaultStep           = 100 * time.Millisecond
)

// Memory that a run may take, and what it is estimated by.
const (
	maxMemoryBytes    = 12 << 30
	bytesPerRelay     = 64 << 10
	bytesPerRelayPair = 300 // a name in each list of members, and what is kept of a peer that was heard
)

// workload is what a carrier is given to do.
type workload int

const (
	idle workload = iota
	configurationChanges
	dividedLimits
	outages
)

func (w workload) String() string {
	return [...]string{"nothing", "changes", "limits", "outages"}[w]
}

// Scenario is one that makes sense.
type Scenario struct {
	*capacityv1.CapacityScenario
	Topology Topology
	Length   time.Duration
	WarmUp   time.Duration
	file     string
	text     string
}

// FieldError says what is wrong with a field of a scenario.
type FieldError struct {
	File  string
	Line  int
	Field string
	Text  string
}

// Error names the file, the line, the field and what is wrong with it.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Text)
}

// BuiltIn are the names of the scenarios that need no file.
func BuiltIn() (names []string) {
	list, _ := fs.Glob(files.Files, "*.textproto") // the pattern is well formed
	for _, file := range list {
		names = append(names, strings.TrimSuffix(file, ".textproto"))
	}
	return names
}

// Load reads a scenario: a built-in one by its name, or a file.
func Load(name string) (*Scenario, error) {
	if slices.Contains(BuiltIn(), name) {
		file := name + ".textproto"
		raw, err := files.Files.ReadFile(file)
		if err != nil {
			return nil, err
		}
		return Parse(path.Join("example/capacity", file), raw)
	}
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("scenario: %q is no file, and none of %v: %w", name, BuiltIn(), err)
	}
	return Parse(name, raw)
}

var unmarshalError = regexp.MustCompile(`^proto:\s*(?:syntax error )?\(line (\d+):\d+\):\s*(.*)$`)

// Parse reads a scenario's text.
func Parse(file string, raw []byte) (*Scenario, error) {
	m := &capacityv1.CapacityScenario{}
	if err := prototext.Unmarshal(raw, m); err != nil {
		text := strings.ReplaceAll(err.Error(), "\u00a0", " ")
		if parts := unmarshalError.FindStringSubmatch(text); parts != nil {
			return nil, fmt.Errorf("%s:%s: %s", file, parts[1], parts[2])
		}
		return nil, fmt.Errorf("%s: %s", file, text)
	}
	return Check(file, string(raw), m)
}

// Check returns a scenario whose fields make sense. The text, which may be empty, is what error lines are counted in.
func Check(file, text string, m *capacityv1.CapacityScenario) (*Scenario, error) {
	s := &Scenario{CapacityScenario: m, Topology: topologyOf(m.Topology), Length: seconds(m.LengthS), WarmUp: seconds(m.WarmUpS), file: file, text: text}
	if m.WarmUpS == 0 {
		s.WarmUp = defaultWarmUp
	}
	c := &checker{scenario: s}
	c.checkGeneral()
	c.checkTopology()
	c.checkWorkloads()
	c.checkFaults()
	if c.errs != nil {
		return nil, errors.Join(c.errs...)
	}
	s.fillDefaults()
	return s, nil
}

func (s *Scenario) fillDefaults() {
	if c := s.Changes; c != nil {
		c.ControlPoints = cmp.Or(c.ControlPoints, defaultControlPoints)
		c.ValueBytes = cmp.Or(c.ValueBytes, defaultValueBytes)
	}
	if l := s.Limits; l != nil {
		l.LimitPerRelay = cmp.Or(l.LimitPerRelay, defaultLimitPerRelay)
		l.WantedPerRelay = cmp.Or(l.WantedPerRelay, defaultWantedPerRelay)
		l.StepMs = cmp.Or(l.StepMs, float64(defaultStep)/float64(time.Millisecond))
	}
}

// CheckSize says what is wrong with a size of a fleet.
func CheckSize(relays int) error {
	if relays < 1 {
		return fmt.Errorf("%d relays are no fleet", relays)
	}
	if neededBytes := EstimateMemory(relays); neededBytes > maxMemoryBytes {
		return fmt.Errorf("%d relays take about %.1f GB, more than %d GB", relays, float64(neededBytes)/(1<<30), maxMemoryBytes>>30)
	}
	return nil
}

func (s *Scenario) workload() workload {
	switch {
	case s.Changes != nil:
		return configurationChanges
	case s.Limits != nil:
		return dividedLimits
	case s.Outages != nil:
		return outages
	}
	return idle
}

// supportsCarrier says whether a carrier can be given the scenario.
func (s *Scenario) supportsCarrier(c carrierDefinition) bool {
	if s.workload() == idle {
		return c.workload == configurationChanges
	}
	return s.workload() == c.workload
}

// EstimateMemory is about how many bytes a run of so many relays takes.
func EstimateMemory(relays int) int64 {
	return int64(relays)*bytesPerRelay + int64(relays)*int64(relays)*bytesPerRelayPair
}

// checker collects what is wrong with a scenario.
type checker struct {
	scenario *Scenario
	errs     []error
}

func (c *checker) reject(field, format string, args ...any) {
	s := c.scenario
	c.errs = append(c.errs, &FieldError{File: s.file, Line: lineOf(s.text, field), Field: field, Text: fmt.Sprintf(format, args...)})
}

func (c *checker) requireRange(field string, value, minimum, maximum float64) {
	if !(value >= minimum && value <= maximum) {
		c.reject(field, "%v is not within %v to %v", value, minimum, maximum)
	}
}

func (c *checker) checkGeneral() {
	s := c.scenario
	if s.Name == "" {
		c.reject("name", "it is missing")
	}
	for _, n := range s.Relays {
		if err := CheckSize(int(n)); err != nil {
			c.reject("relays", "%v", err)
		}
	}
	if !(s.LengthS > 0) || s.LengthS > maxLengthSeconds {
		c.reject("length_s", "%v is not above 0, up to %v", s.LengthS, maxLengthSeconds)
	}
	c.requireRange("warm_up_s", s.WarmUpS, 0, maxLengthSeconds)
}

func (c *checker) checkTopology() {
	t := c.scenario.Topology
	c.requireRange("topology.regions", float64(t.Regions), 1, 1000)
	c.requireRange("topology.zones", float64(t.Zones), float64(max(t.Regions, 1)), 10_000)
	c.requireRange("topology.loss", t.Loss, 0, 0.9)
	for _, r := range []struct {
		field string
		delay DelayRange
	}{{"in_zone", t.InZone}, {"in_region", t.InRegion}, {"between_regions", t.BetweenRegions}} {
		if r.delay.Min < 0 || r.delay.Max < r.delay.Min || r.delay.Max > time.Minute {
			c.reject("topology."+r.field, "from %v to %v is no range of delays", r.delay.Min, r.delay.Max)
		}
	}
}

func (c *checker) checkWorkloads() {
	s := c.scenario
	workloads := 0
	for _, set := range []bool{s.Changes != nil, s.Limits != nil, s.Outages != nil} {
		if set {
			workloads++
		}
	}
	if workloads > 1 {
		c.reject("name", "changes, limits and outages exclude each other")
	}
	if m := s.Changes; m != nil {
		c.requireRange("changes.count", float64(m.Count), 1, maxChanges)
		c.requireRange("changes.at_s", m.AtS, 0, s.LengthS)
		c.requireRange("changes.every_s", m.EveryS, 0, maxLengthSeconds)
		c.requireRange("changes.control_points", float64(m.ControlPoints), 0, 1000)
		c.requireRange("changes.standing", float64(m.Standing), 0, maxChanges)
		c.requireRange("changes.value_bytes", float64(m.ValueBytes), 0, maxValueBytes)
		if last := m.AtS + m.EveryS*float64(m.Count-1); m.Count > 0 && last > s.LengthS {
			c.reject("changes.count", "the last change comes at %.1f s, after the end", last)
		}
	}
	if m := s.Limits; m != nil {
		c.requireRange("limits.destinations", float64(m.Destinations), 1, 4096)
		c.requireRange("limits.limit_per_relay", m.LimitPerRelay, 0, 1e6)
		c.requireRange("limits.wanted_per_relay", m.WantedPerRelay, 0, 1e6)
		c.requireRange("limits.step_ms", m.StepMs, 0, 1000)
	}
	if m := s.Outages; m != nil {
		c.requireRange("outages.destinations", float64(m.Destinations), 1, maxDestinations)
		c.requireRange("outages.down_share", m.DownShare, 0, 1)
		c.requireRange("outages.repeat_s", m.RepeatS, 0.1, maxLengthSeconds)
		c.requireRange("outages.origins", float64(m.Origins), 1, 100)
	}
}

func (c *checker) checkFaults() {
	s := c.scenario
	if m := s.Restarts; m != nil {
		c.requireRange("restarts.share", m.Share, 0, 1)
		c.requireRange("restarts.from_s", m.FromS, 0, s.LengthS)
		c.requireRange("restarts.within_s", m.WithinS, 0, s.LengthS-m.FromS)
		c.requireRange("restarts.down_s", m.DownS, 0.001, maxLengthSeconds)
	}
	if m := s.ZoneLoss; m != nil {
		c.requireRange("zone_loss.at_s", m.AtS, 0, s.LengthS)
		c.requireRange("zone_loss.zone", float64(m.Zone), 0, float64(s.Topology.Zones-1))
		c.requireRange("zone_loss.learned_after_s", m.LearnedAfterS, 0, maxLengthSeconds)
	}
	if m := s.Reunion; m != nil {
		c.requireRange("reunion.at_s", m.AtS, 0, s.LengthS)
		c.requireRange("reunion.changes", float64(m.Changes), 0, maxChanges)
		if s.Topology.Regions < 2 {
			c.reject("reunion", "one region cannot be apart from another")
		}
	}
}

// lineOf is the line of a text in which a field begins, by its path; the line of its message, or 1, where it is not there.
func lineOf(text, field string) int {
	line, rest := 1, text
	for _, name := range strings.Split(field, ".") {
		match := regexp.MustCompile(`(?m)^[^#\n]*?\b` + regexp.QuoteMeta(name) + `\s*[:{]`).FindStringIndex(rest)
		if match == nil {
			return line
		}
		line += strings.Count(rest[:match[1]], "\n")
		rest = rest[match[1]:]
	}
	return line
}

func seconds(s float64) time.Duration {
	if math.IsNaN(s) || math.Abs(s) > 1e9 {
		return 0 // refused by Check
	}
	return time.Duration(s * float64(time.Second))
}

func millis(milliseconds float64) time.Duration { return seconds(milliseconds / 1000) }

// Override returns the scenario with another length, and other numbers of changes and of destinations; 0 leaves them. More changes come
// in the same time.
func (s *Scenario) Override(length time.Duration, changes, destinations int) (*Scenario, error) {
	m, ok := proto.Clone(s.CapacityScenario).(*capacityv1.CapacityScenario)
	if !ok {
		return nil, errors.New("scenario: it cannot be copied")
	}
	if length != 0 {
		m.LengthS = length.Seconds()
	}
	if changes != 0 && m.Changes != nil {
		if span := m.Changes.EveryS * float64(m.Changes.Count); changes > 0 {
			m.Changes.EveryS = span / float64(changes)
		}
		m.Changes.Count = int32(changes)
	}
	if destinations != 0 && m.Outages != nil {
		m.Outages.Destinations = int32(destinations)
	}
	if destinations != 0 && m.Limits != nil {
		m.Limits.Destinations = int32(destinations)
	}
	return Check(s.file, s.text, m)
}
