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

// Bounds of one configuration message. Decode rejects a message that exceeds them.
const (
	// MaxConfigurationChanges bounds the number of changes in one message, in all deltas together.
	MaxConfigurationChanges = 256
	// MaxConfigurationSources bounds the number of sources in a version vector, and the number of deltas.
	MaxConfigurationSources = 64
	// MaxConfigurationPositionBytes bounds each position of a scope.
	MaxConfigurationPositionBytes = 512
)

// ConfigurationSize returns a function that computes the maximum size on the network, in bytes, of a configuration message
// of a sender.
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

// encodeConfiguration converts a configuration message into its protobuf form; nil stays nil.
func encodeConfiguration(message *configsync.Message) *fleetv1.Configuration {
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

// encodePush converts a push into its protobuf form.
func encodePush(push *configsync.Push) *fleetv1.ConfigurationPush {
	return &fleetv1.ConfigurationPush{
		Number: push.Number,
		Salt:   push.Scope.Salt,
		Low:    []byte(push.Scope.Low),
		High:   []byte(push.Scope.High),
		Change: encodeChanges(push.Changes, ""),
	}
}

// encodeExchange converts an anti-entropy exchange into its protobuf form.
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

// encodeChanges converts changes into their protobuf form. It omits the source of a change if the source is the default one.
func encodeChanges(changes []configsync.Change, defaultSource string) []*fleetv1.ConfigurationChange {
	var encoded []*fleetv1.ConfigurationChange
	for i := range changes {
		change := EncodeChange(&changes[i])
		if change.Source == defaultSource {
			change.Source = ""
		}
		encoded = append(encoded, change)
	}
	return encoded
}

// EncodeChange converts a change into its protobuf form.
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

// EncodeVersions converts a version vector into its protobuf form, sorted by source.
func EncodeVersions(versions configsync.VersionVector) []*fleetv1.ConfigurationVersion {
	var encoded []*fleetv1.ConfigurationVersion
	for source, sequence := range versions {
		encoded = append(encoded, &fleetv1.ConfigurationVersion{Source: source, Sequence: sequence})
	}
	slices.SortFunc(encoded, func(a, b *fleetv1.ConfigurationVersion) int { return strings.Compare(a.Source, b.Source) })
	return encoded
}

// decodeConfiguration returns nil for a packet without a configuration message, and for a message of an unknown kind, which
// a later build may send.
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

// decodePush reads and validates a push.
func decodePush(encoded *fleetv1.ConfigurationPush) (*configsync.Message, error) {
	switch {
	case len(encoded.Change) == 0 || len(encoded.Change) > MaxConfigurationChanges:
		return nil, fmt.Errorf("%w: push of %d configuration changes", ErrMalformed, len(encoded.Change))
	case len(encoded.Low) > MaxConfigurationPositionBytes || len(encoded.High) > MaxConfigurationPositionBytes:
		return nil, fmt.Errorf("%w: configuration scope with positions of %d and %d bytes", ErrMalformed, len(encoded.Low), len(encoded.High))
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

// decodeExchange reads and validates an anti-entropy exchange.
func decodeExchange(encoded *fleetv1.ConfigurationExchange) (*configsync.Message, error) {
	if len(encoded.Delta) > MaxConfigurationSources || encoded.Ahead > math.MaxInt32 {
		return nil, fmt.Errorf("%w: %d configuration deltas, %d changes ahead", ErrMalformed, len(encoded.Delta), encoded.Ahead)
	}
	versions, err := DecodeVersions(encoded.Version)
	if err != nil {
		return nil, err
	}
	exchange := &configsync.Exchange{WantsReply: encoded.Reply, Versions: versions, Digest: encoded.Digest, Ahead: int(encoded.Ahead)}
	total := 0
	for _, delta := range encoded.Delta {
		if total += len(delta.Change); total > MaxConfigurationChanges {
			return nil, fmt.Errorf("%w: more than %d configuration changes", ErrMalformed, MaxConfigurationChanges)
		}
		decoded, err := decodeDelta(delta)
		if err != nil {
			return nil, err
		}
		exchange.Deltas = append(exchange.Deltas, decoded)
	}
	return &configsync.Message{Exchange: exchange}, nil
}

// decodeDelta reads and validates a delta.
func decodeDelta(encoded *fleetv1.ConfigurationDelta) (configsync.Delta, error) {
	if encoded.Source == "" || encoded.After >= encoded.Through {
		return configsync.Delta{}, fmt.Errorf("%w: configuration delta of %q from %d through %d", ErrMalformed, encoded.Source, encoded.After,
			encoded.Through)
	}
	changes, err := decodeChanges(encoded.Change, encoded.Source)
	if err != nil {
		return configsync.Delta{}, err
	}
	for i := range changes {
		if c := &changes[i]; c.Source != encoded.Source || c.Sequence <= encoded.After || c.Sequence > encoded.Through {
			return configsync.Delta{}, fmt.Errorf("%w: change %d of %q is outside its configuration delta", ErrMalformed, c.Sequence, c.Source)
		}
	}
	return configsync.Delta{Source: encoded.Source, After: encoded.After, Through: encoded.Through, Changes: changes}, nil
}

// decodeChanges reads changes; see DecodeChange.
func decodeChanges(encoded []*fleetv1.ConfigurationChange, defaultSource string) ([]configsync.Change, error) {
	var changes []configsync.Change
	for _, e := range encoded {
		change, err := DecodeChange(e, defaultSource)
		if err != nil {
			return nil, err
		}
		changes = append(changes, change)
	}
	return changes, nil
}

// DecodeChange reads a change. A change that names no source gets the default source.
func DecodeChange(encoded *fleetv1.ConfigurationChange, defaultSource string) (configsync.Change, error) {
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
		change.Source = defaultSource
	}
	if change.Source == "" || change.Key == "" || change.Sequence == 0 || change.Revision == 0 {
		return configsync.Change{}, fmt.Errorf("%w: configuration change without source, key, sequence or revision", ErrMalformed)
	}
	return change, nil
}

// DecodeVersions reads and validates a version vector.
func DecodeVersions(encoded []*fleetv1.ConfigurationVersion) (configsync.VersionVector, error) {
	if len(encoded) > MaxConfigurationSources {
		return nil, fmt.Errorf("%w: version vector of %d sources", ErrMalformed, len(encoded))
	}
	versions := configsync.VersionVector{}
	for _, version := range encoded {
		if _, twice := versions[version.Source]; twice || version.Source == "" {
			return nil, fmt.Errorf("%w: invalid version %d of source %q", ErrMalformed, version.Sequence, version.Source)
		}
		versions[version.Source] = version.Sequence
	}
	return versions, nil
}
