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

// Limits of the values in a scenario.
const (
	maxLengthSeconds = 3600.0
	maxChanges       = 100_000
	maxDestinations  = 10_000_000
	maxValueBytes    = 1 << 10
)

// Default values of a scenario.
const (
	defaultWarmUp         = 5 * time.Second
	defaultControlPoints  = 10
	defaultValueBytes     = 64
	defaultLimitPerRelay  = 4.0
	defaultWantedPerRelay = 5.2
	defaultStep           = 100 * time.Millisecond
)

// Maximum memory of a run, and the values from which the memory of a run is estimated.
const (
	maxMemoryBytes    = 12 << 30
	bytesPerRelay     = 64 << 10
	bytesPerRelayPair = 300 // a name in each member list, and the state that a relay keeps of each known peer
)

// workload is the kind of control data that a carrier transports in a run.
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

// Scenario is a scenario that has passed Check, with its defaults filled in.
type Scenario struct {
	*capacityv1.CapacityScenario
	Topology Topology
	Length   time.Duration
	WarmUp   time.Duration
	file     string
	text     string
}

// FieldError describes an invalid field of a scenario.
type FieldError struct {
	File  string
	Line  int
	Field string
	Text  string
}

// Error returns the file, the line, the field and the reason.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Text)
}

// BuiltInNames returns the names of the scenarios that are embedded in the program.
func BuiltInNames() (names []string) {
	list, _ := fs.Glob(files.Files, "*.textproto") // the pattern is well formed
	for _, file := range list {
		names = append(names, strings.TrimSuffix(file, ".textproto"))
	}
	return names
}

// Load reads a scenario: a built-in scenario by its name, or a file by its path.
func Load(name string) (*Scenario, error) {
	if slices.Contains(BuiltInNames(), name) {
		file := name + ".textproto"
		raw, err := files.Files.ReadFile(file)
		if err != nil {
			return nil, err
		}
		return Parse(path.Join("example/capacity", file), raw)
	}
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("scenario: cannot read file %q, and it is not one of the built-in scenarios %v: %w", name, BuiltInNames(), err)
	}
	return Parse(name, raw)
}

var unmarshalError = regexp.MustCompile(`^proto:\s*(?:syntax error )?\(line (\d+):\d+\):\s*(.*)$`)

// Parse parses and checks a scenario in protobuf text format. The file name is used in error messages.
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

// Check validates a message and returns the scenario. The text is the source of the message; errors get their line numbers from it.
// The text may be empty.
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

// CheckSize returns an error if a fleet of this size cannot be simulated.
func CheckSize(relays int) error {
	if relays < 1 {
		return fmt.Errorf("%d relays: at least 1 is required", relays)
	}
	if neededBytes := EstimateMemory(relays); neededBytes > maxMemoryBytes {
		return fmt.Errorf("%d relays take about %.1f GB of memory, more than the maximum of %d GB", relays, float64(neededBytes)/(1<<30), maxMemoryBytes>>30)
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

// supportsCarrier reports whether a carrier can run the scenario. The carriers of configuration changes also run idle scenarios.
func (s *Scenario) supportsCarrier(c carrierDefinition) bool {
	if s.workload() == idle {
		return c.workload == configurationChanges
	}
	return s.workload() == c.workload
}

// EstimateMemory returns the estimated memory of a run, in bytes.
func EstimateMemory(relays int) int64 {
	return int64(relays)*bytesPerRelay + int64(relays)*int64(relays)*bytesPerRelayPair
}

// checker collects the errors of a scenario.
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
		c.reject(field, "%v is not between %v and %v", value, minimum, maximum)
	}
}

func (c *checker) checkGeneral() {
	s := c.scenario
	if s.Name == "" {
		c.reject("name", "the scenario has no name")
	}
	for _, n := range s.Relays {
		if err := CheckSize(int(n)); err != nil {
			c.reject("relays", "%v", err)
		}
	}
	if !(s.LengthS > 0) || s.LengthS > maxLengthSeconds {
		c.reject("length_s", "%v is not above 0 and at most %v", s.LengthS, maxLengthSeconds)
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
			c.reject("topology."+r.field, "delay range %v to %v is invalid (0 <= min <= max <= 1 min)", r.delay.Min, r.delay.Max)
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
		c.reject("name", "changes, limits and outages cannot be combined")
	}
	if m := s.Changes; m != nil {
		c.requireRange("changes.count", float64(m.Count), 1, maxChanges)
		c.requireRange("changes.at_s", m.AtS, 0, s.LengthS)
		c.requireRange("changes.every_s", m.EveryS, 0, maxLengthSeconds)
		c.requireRange("changes.control_points", float64(m.ControlPoints), 0, 1000)
		c.requireRange("changes.standing", float64(m.Standing), 0, maxChanges)
		c.requireRange("changes.value_bytes", float64(m.ValueBytes), 0, maxValueBytes)
		if last := m.AtS + m.EveryS*float64(m.Count-1); m.Count > 0 && last > s.LengthS {
			c.reject("changes.count", "the last change at %.1f s is after the end of the run", last)
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
			c.reject("reunion", "a reunion needs at least two regions")
		}
	}
}

// lineOf returns the line of the text at which a field begins. The field is a dotted path. If the text does not contain the field,
// lineOf returns the line of the innermost enclosing message that the text contains, or 1.
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
		return 0 // Check rejects the value
	}
	return time.Duration(s * float64(time.Second))
}

func millis(milliseconds float64) time.Duration { return seconds(milliseconds / 1000) }

// Override returns a copy of the scenario with a different length, number of changes and number of destinations. A value of 0 keeps
// the scenario's own value. The changes are spread over the same time as before, so that more changes follow each other faster.
func (s *Scenario) Override(length time.Duration, changes, destinations int) (*Scenario, error) {
	m, ok := proto.Clone(s.CapacityScenario).(*capacityv1.CapacityScenario)
	if !ok {
		return nil, errors.New("scenario: cloning the message failed")
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
