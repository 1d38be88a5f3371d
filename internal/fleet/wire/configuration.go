package wire

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"slatemux/internal/configsync"
	"slatemux/internal/fleet/wire/fleetv1"
	"slatemux/internal/spread"
)

// Bounds of one configuration message; what is over them is refused.
const (
	// MaxConfigurationChanges bounds the changes of one message, those of all deltas together.
	MaxConfigurationChanges = 256
	// MaxConfigurationSources bounds the sources that a version vector names, and the deltas.
	MaxConfigurationSources = 64
	// MaxConfigurationPosition bounds a position of a scope, in bytes.
	MaxConfigurationPosition = 512
)

// ConfigurationSize returns a function that tells what a configuration message of a sender takes on the network at most.
func ConfigurationSize(sender string) func(*configsync.Message) int {
	return func(message *configsync.Message) int {
		return Size(&spread.Packet{
			From:          sender,
			Incarnation:   math.MaxUint32,
			Uptime:        365 * 24 * time.Hour,
			Sequence:      math.MaxUint32,
			Configuration: message,
		})
	}
}

func configurationMessage(message *configsync.Message) *fleetv1.Configuration {
	switch {
	case message == nil:
		return nil
	case message.Push != nil:
		return &fleetv1.Configuration{Kind: &fleetv1.Configuration_Push{Push: encodePush(message.Push)}}
	case message.Ack != nil:
		ack := &fleetv1.ConfigurationAck{Number: message.Ack.Number}
		return &fleetv1.Configuration{Kind: &fleetv1.Configuration_Ack{Ack: ack}}
	case message.Exchange != nil:
		return &fleetv1.Configuration{Kind: &fleetv1.Configuration_Exchange{Exchange: encodeExchange(message.Exchange)}}
	}
	return &fleetv1.Configuration{}
}

func encodePush(push *configsync.Push) *fleetv1.ConfigurationPush {
	return &fleetv1.ConfigurationPush{
		Number: push.Number,
		Salt:   push.Scope.Salt,
		Low:    []byte(push.Scope.Low),
		High:   []byte(push.Scope.High),
		Change: encodeChanges(push.Changes, ""),
	}
}

func encodeExchange(exchange *configsync.Exchange) *fleetv1.ConfigurationExchange {
	encoded := &fleetv1.ConfigurationExchange{
		Reply:   exchange.WantsReply,
		Version: EncodeVersions(exchange.Versions),
		Digest:  exchange.Digest,
		Ahead:   uint32(min(max(exchange.Ahead, 0), math.MaxInt32)),
	}
	for _, delta := range exchange.Deltas {
		encoded.Delta = append(encoded.Delta, &fleetv1.ConfigurationDelta{
			Source:  delta.Source,
			After:   delta.After,
			Through: delta.Through,
			Change:  encodeChanges(delta.Changes, delta.Source),
		})
	}
	return encoded
}

// encodeChanges leaves out the source where it is the one that the receiver assumes.
func encodeChanges(changes []configsync.Change, assumed string) []*fleetv1.ConfigurationChange {
	var encoded []*fleetv1.ConfigurationChange
	for i := range changes {
		change := EncodeChange(&changes[i])
		if change.Source == assumed {
			change.Source = ""
		}
		encoded = append(encoded, change)
	}
	return encoded
}

// EncodeChange returns a change in the form of the wire.
func EncodeChange(change *configsync.Change) *fleetv1.ConfigurationChange {
	return &fleetv1.ConfigurationChange{
		Source:    change.Source,
		Sequence:  change.Sequence,
		Revision:  change.Revision,
		Key:       change.Key,
		Value:     change.Value,
		Removed:   change.Removed,
		Signature: change.Signature,
	}
}

// EncodeVersions returns a version vector in the form of the wire, in the order of its sources.
func EncodeVersions(versions configsync.VersionVector) []*fleetv1.ConfigurationVersion {
	var encoded []*fleetv1.ConfigurationVersion
	for source, sequence := range versions {
		encoded = append(encoded, &fleetv1.ConfigurationVersion{Source: source, Sequence: sequence})
	}
	slices.SortFunc(encoded, func(a, b *fleetv1.ConfigurationVersion) int { return strings.Compare(a.Source, b.Source) })
	return encoded
}

// decodeConfiguration returns no message for a packet without one, and for one of a kind that a later build has.
func decodeConfiguration(encoded *fleetv1.Configuration) (*configsync.Message, error) {
	switch kind := encoded.GetKind().(type) {
	case *fleetv1.Configuration_Push:
		return decodePush(kind.Push)
	case *fleetv1.Configuration_Ack:
		return &configsync.Message{Ack: &configsync.Ack{Number: kind.Ack.Number}}, nil
	case *fleetv1.Configuration_Exchange:
		return decodeExchange(kind.Exchange)
	}
	return nil, nil
}

func decodePush(encoded *fleetv1.ConfigurationPush) (*configsync.Message, error) {
	switch {
	case len(encoded.Change) == 0 || len(encoded.Change) > MaxConfigurationChanges:
		return nil, fmt.Errorf("%w: a push of %d configuration changes", ErrForm, len(encoded.Change))
	case len(encoded.Low) > MaxConfigurationPosition || len(encoded.High) > MaxConfigurationPosition:
		return nil, fmt.Errorf("%w: a configuration scope of %d and %d bytes", ErrForm, len(encoded.Low), len(encoded.High))
	}
	changes, err := decodeChanges(encoded.Change, "")
	if err != nil {
		return nil, err
	}
	scope := configsync.Scope{
		Salt: encoded.Salt,
		Low:  configsync.Position(encoded.Low),
		High: configsync.Position(encoded.High),
	}
	return &configsync.Message{Push: &configsync.Push{Number: encoded.Number, Scope: scope, Changes: changes}}, nil
}

func decodeExchange(encoded *fleetv1.ConfigurationExchange) (*configsync.Message, error) {
	if len(encoded.Delta) > MaxConfigurationSources || encoded.Ahead > math.MaxInt32 {
		return nil, fmt.Errorf("%w: %d configuration deltas, %d changes ahead", ErrForm, len(encoded.Delta), encoded.Ahead)
	}
	versions, err := DecodeVersions(encoded.Version)
	if err != nil {
		return nil, err
	}
	exchange := &configsync.Exchange{WantsReply: encoded.Reply, Versions: versions, Digest: encoded.Digest, Ahead: int(encoded.Ahead)}
	total := 0
	for _, delta := range encoded.Delta {
		if total += len(delta.Change); total > MaxConfigurationChanges {
			return nil, fmt.Errorf("%w: more than %d configuration changes", ErrForm, MaxConfigurationChanges)
		}
		decoded, err := decodeDelta(delta)
		if err != nil {
			return nil, err
		}
		exchange.Deltas = append(exchange.Deltas, decoded)
	}
	return &configsync.Message{Exchange: exchange}, nil
}

func decodeDelta(encoded *fleetv1.ConfigurationDelta) (configsync.Delta, error) {
	if encoded.Source == "" || encoded.After >= encoded.Through {
		return configsync.Delta{}, fmt.Errorf("%w: a configuration delta of %q from %d through %d", ErrForm, encoded.Source, encoded.After,
			encoded.Through)
	}
	changes, err := decodeChanges(encoded.Change, encoded.Source)
	if err != nil {
		return configsync.Delta{}, err
	}
	for i := range changes {
		if c := &changes[i]; c.Source != encoded.Source || c.Sequence <= encoded.After || c.Sequence > encoded.Through {
			return configsync.Delta{}, fmt.Errorf("%w: change %d of %q is none of its configuration delta", ErrForm, c.Sequence, c.Source)
		}
	}
	return configsync.Delta{Source: encoded.Source, After: encoded.After, Through: encoded.Through, Changes: changes}, nil
}

func decodeChanges(encoded []*fleetv1.ConfigurationChange, assumed string) ([]configsync.Change, error) {
	var changes []configsync.Change
	for _, e := range encoded {
		change, err := DecodeChange(e, assumed)
		if err != nil {
			return nil, err
		}
		changes = append(changes, change)
	}
	return changes, nil
}

// DecodeChange reads a change. One that names no source is of the assumed one.
func DecodeChange(encoded *fleetv1.ConfigurationChange, assumed string) (configsync.Change, error) {
	change := configsync.Change{
		Source:    encoded.GetSource(),
		Sequence:  encoded.GetSequence(),
		Revision:  encoded.GetRevision(),
		Key:       encoded.GetKey(),
		Value:     encoded.GetValue(),
		Removed:   encoded.GetRemoved(),
		Signature: encoded.GetSignature(),
	}
	if change.Source == "" {
		change.Source = assumed
	}
	if change.Source == "" || change.Key == "" || change.Sequence == 0 || change.Revision == 0 {
		return configsync.Change{}, fmt.Errorf("%w: a configuration change without source, key, sequence or revision", ErrForm)
	}
	return change, nil
}

// DecodeVersions reads a version vector.
func DecodeVersions(encoded []*fleetv1.ConfigurationVersion) (configsync.VersionVector, error) {
	if len(encoded) > MaxConfigurationSources {
		return nil, fmt.Errorf("%w: a version vector of %d sources", ErrForm, len(encoded))
	}
	versions := configsync.VersionVector{}
	for _, version := range encoded {
		if _, twice := versions[version.Source]; twice || version.Source == "" {
			return nil, fmt.Errorf("%w: version %d of source %q", ErrForm, version.Sequence, version.Source)
		}
		versions[version.Source] = version.Sequence
	}
	return versions, nil
}
