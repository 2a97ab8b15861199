package persimprofile

import (
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"persimmonport.example/persimduration"
	"persimmonport.example/persimwire"
)

// Marshal returns the protojson encoding in which a catalogue is stored.
func Marshal(c Catalogue) ([]byte, error) {
	data, err := protojson.Marshal(ToWire(c))
	return data, trace.Wrap(err)
}

// Unmarshal parses the protojson encoding of a catalogue.
func Unmarshal(data []byte) (Catalogue, error) {
	var wire persimwire.Catalogue
	if err := protojson.Unmarshal(data, &wire); err != nil {
		return Catalogue{}, trace.BadParameter("catalogue: %v", err)
	}
	return FromWire(&wire), nil
}

// ToWire converts a catalogue to its protobuf message.
func ToWire(c Catalogue) *persimwire.Catalogue {
	wire := &persimwire.Catalogue{Generation: c.generation}
	for _, p := range c.profiles {
		wire.Profiles = append(wire.Profiles, ProfileToWire(p))
	}
	for _, s := range c.services {
		wire.Services = append(wire.Services, ServiceToWire(s))
	}
	for _, change := range c.changes {
		wire.Changes = append(wire.Changes, ChangeToWire(change))
	}
	return wire
}

// FromWire converts a protobuf message to a catalogue.
func FromWire(wire *persimwire.Catalogue) Catalogue {
	c := Catalogue{generation: wire.GetGeneration()}
	for _, p := range wire.GetProfiles() {
		c.profiles = append(c.profiles, ProfileFromWire(p))
	}
	for _, s := range wire.GetServices() {
		c.services = append(c.services, ServiceFromWire(s))
	}
	for _, change := range wire.GetChanges() {
		c.changes = append(c.changes, ChangeFromWire(change))
	}
	return c
}

// ProfileToWire converts a profile to its protobuf message.
func ProfileToWire(p Profile) *persimwire.Profile {
	return &persimwire.Profile{
		Name:            p.Name,
		Class:           classToWire(p.Class),
		Patience:        durationpb.New(p.Patience.Std()),
		FirstToken:      durationpb.New(p.FirstToken.Std()),
		TokenGap:        durationpb.New(p.TokenGap.Std()),
		CostWeight:      p.CostWeight,
		WaitWeight:      p.WaitWeight,
		MaxAttempts:     int32(p.MaxAttempts),
		RetryShare:      p.RetryShare,
		HedgeShare:      p.HedgeShare,
		ReplicaRequired: p.ReplicaRequired,
		Retention:       durationpb.New(p.Retention.Std()),
	}
}

// ProfileFromWire converts a protobuf message to a profile.
func ProfileFromWire(wire *persimwire.Profile) Profile {
	return Profile{
		Name:            wire.GetName(),
		Class:           classFromWire(wire.GetClass()),
		Patience:        persimduration.Duration(wire.GetPatience().AsDuration()),
		FirstToken:      persimduration.Duration(wire.GetFirstToken().AsDuration()),
		TokenGap:        persimduration.Duration(wire.GetTokenGap().AsDuration()),
		CostWeight:      wire.GetCostWeight(),
		WaitWeight:      wire.GetWaitWeight(),
		MaxAttempts:     int(wire.GetMaxAttempts()),
		RetryShare:      wire.GetRetryShare(),
		HedgeShare:      wire.GetHedgeShare(),
		ReplicaRequired: wire.GetReplicaRequired(),
		Retention:       persimduration.Duration(wire.GetRetention().AsDuration()),
	}
}

// ServiceToWire converts a service to its protobuf message.
func ServiceToWire(s Service) *persimwire.Service {
	return &persimwire.Service{Name: s.Name, Group: s.Group, Profile: s.Profile, Once: s.AtMostOnceMethods}
}

// ServiceFromWire converts a protobuf message to a service.
func ServiceFromWire(wire *persimwire.Service) Service {
	return Service{Name: wire.GetName(), Group: wire.GetGroup(), Profile: wire.GetProfile(), AtMostOnceMethods: wire.GetOnce()}
}

// ChangeToWire converts a change to its protobuf message.
func ChangeToWire(change Change) *persimwire.Change {
	return &persimwire.Change{
		Generation:  change.Generation,
		Id:          change.ID,
		Operator:    change.Operator,
		Time:        timestamppb.New(change.Time),
		Differences: change.Differences,
	}
}

// ChangeFromWire converts a protobuf message to a change.
func ChangeFromWire(wire *persimwire.Change) Change {
	return Change{
		Generation:  wire.GetGeneration(),
		ID:          wire.GetId(),
		Operator:    wire.GetOperator(),
		Time:        wire.GetTime().AsTime(),
		Differences: wire.GetDifferences(),
	}
}

func classToWire(class Class) persimwire.Class {
	switch class {
	case ClassShort:
		return persimwire.Class_CLASS_SHORT
	case ClassLong:
		return persimwire.Class_CLASS_LONG
	default:
		return persimwire.Class_CLASS_UNSPECIFIED
	}
}

func classFromWire(class persimwire.Class) Class {
	switch class {
	case persimwire.Class_CLASS_SHORT:
		return ClassShort
	case persimwire.Class_CLASS_LONG:
		return ClassLong
	default:
		return Class("")
	}
}
