package persimentry

import (
	"time"

	"persimmonport.example/persimquarantine"
	"persimmonport.example/persimwire"
)

// encodeEvidence returns nil if there is no evidence.
func encodeEvidence(evidence persimquarantine.Evidence) *persimwire.CrashEvidence {
	if len(evidence.Crashes) == 0 && len(evidence.Quarantined) == 0 {
		return nil
	}
	encoded := &persimwire.CrashEvidence{}
	for _, crash := range evidence.Crashes {
		encoded.Crashes = append(encoded.Crashes, &persimwire.Crash{
			Time: encodePast(crash.Time), Upstream: crash.Upstream, Begun: crash.Begun, Parts: crash.Parts,
		})
	}
	for _, success := range evidence.Successes {
		encoded.Successes = append(encoded.Successes, &persimwire.PartSuccess{Time: encodePast(success.Time), Part: success.Part})
	}
	for _, quarantined := range evidence.Quarantined {
		part := &persimwire.QuarantinedPart{Time: encodePast(quarantined.Time), Part: quarantined.Part, Doublings: uint32(max(0, quarantined.Doublings))}
		if quarantined.Probe != nil {
			part.Probe = encodePast(*quarantined.Probe)
		}
		encoded.Quarantined = append(encoded.Quarantined, part)
	}
	return encoded
}

func decodeEvidence(evidence *persimwire.CrashEvidence) persimquarantine.Evidence {
	var decoded persimquarantine.Evidence
	for _, crash := range evidence.GetCrashes() {
		decoded.Crashes = append(decoded.Crashes, persimquarantine.Crash{
			Time: decodePast(crash.GetTime()), Upstream: crash.GetUpstream(), Begun: crash.GetBegun(), Parts: crash.GetParts(),
		})
	}
	for _, success := range evidence.GetSuccesses() {
		decoded.Successes = append(decoded.Successes, persimquarantine.Success{Time: decodePast(success.GetTime()), Part: success.GetPart()})
	}
	for _, quarantined := range evidence.GetQuarantined() {
		part := persimquarantine.Quarantined{Time: decodePast(quarantined.GetTime()), Part: quarantined.GetPart(), Doublings: int(quarantined.GetDoublings())}
		if quarantined.GetProbe() != nil {
			probe := decodePast(quarantined.GetProbe())
			part.Probe = &probe
		}
		decoded.Quarantined = append(decoded.Quarantined, part)
	}
	return decoded
}

func encodePast(past persimquarantine.Time) *persimwire.Past {
	return &persimwire.Past{AgeUs: past.Age.Microseconds(), Hops: uint32(max(0, past.Hops))}
}

func decodePast(past *persimwire.Past) persimquarantine.Time {
	return persimquarantine.Time{Age: time.Duration(past.GetAgeUs()) * time.Microsecond, Hops: int(past.GetHops())}
}
