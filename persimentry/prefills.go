package persimentry

import (
	"math"
	"time"

	"persimmonport.example/persimengine"
	"persimmonport.example/persimwire"
)

// addPrefills adds to a message the prefills that this host has observed. In a large
// deployment a host sees too few of them to learn the speed of engines soon, so that hubs
// learn it from those of all hosts. Those in a message that is lost are not sent again. It needs
// the lock of the entry.
func (e *entry) addPrefills(state *persimwire.Exchange) {
	if e.usesHubs() && !e.wasHub {
		state.Prefills = encodePrefills(e.front.TakePrefills())
	}
}

func encodePrefills(prefills map[string][]persimengine.Prefill) []*persimwire.ServicePrefills {
	list := make([]*persimwire.ServicePrefills, 0, len(prefills))
	for service, observed := range prefills {
		encoded := &persimwire.ServicePrefills{Service: service}
		for _, prefill := range observed {
			encoded.Tokens = append(encoded.Tokens, uint32(max(0, prefill.Tokens)))
			encoded.TookUs = append(encoded.TookUs, uint32(min(max(0, prefill.Took.Microseconds()), math.MaxUint32)))
		}
		list = append(list, encoded)
	}
	return list
}

// decodePrefills leaves out lists whose lengths don't match.
func decodePrefills(list []*persimwire.ServicePrefills) map[string][]persimengine.Prefill {
	prefills := make(map[string][]persimengine.Prefill, len(list))
	for _, encoded := range list {
		if len(encoded.GetTokens()) != len(encoded.GetTookUs()) {
			continue
		}
		for i, tokens := range encoded.GetTokens() {
			prefills[encoded.GetService()] = append(prefills[encoded.GetService()], persimengine.Prefill{
				Tokens: int(tokens), Took: time.Duration(encoded.GetTookUs()[i]) * time.Microsecond,
			})
		}
	}
	return prefills
}
