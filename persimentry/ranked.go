package persimentry

import (
	"math"

	"persimmonport.example/persimadmit"
	"persimmonport.example/persimfront"
	"persimmonport.example/persimhub"
	"persimmonport.example/persimwire"
)

// maxRankedLoads bounds the loads of a service that are read from a message: twice as many
// organisations as a sender lists, for the sums of the rest of each rank.
const maxRankedLoads = 128

// rankedDemand returns the work of each organisation and priority, by service.
func rankedDemand(demand map[string]persimfront.Demand) persimhub.Ranked {
	ranked := persimhub.Ranked{}
	for service, d := range demand {
		if len(d.Ranked) > 0 {
			ranked[service] = d.Ranked
		}
	}
	return ranked
}

func encodeRanked(loads persimadmit.Loads) []*persimwire.RankedLoad {
	list := make([]*persimwire.RankedLoad, 0, len(loads))
	for key, busy := range loads {
		list = append(list, &persimwire.RankedLoad{Rank: int64(key.Rank), Organisation: key.Organisation, Rest: key.Rest, Busy: busy})
	}
	return list
}

// decodeRanked leaves out loads that are no numbers and those beyond maxRankedLoads.
func decodeRanked(list []*persimwire.RankedLoad) persimadmit.Loads {
	loads := make(persimadmit.Loads, min(len(list), maxRankedLoads))
	for _, load := range list[:min(len(list), maxRankedLoads)] {
		if busy := load.GetBusy(); busy > 0 && !math.IsInf(busy, 1) {
			loads[persimadmit.Key{Rank: int(load.GetRank()), Organisation: load.GetOrganisation(), Rest: load.GetRest()}] = busy
		}
	}
	return loads
}

func encodeRankedSum(ranked persimhub.Ranked) map[string]*persimwire.RankedLoads {
	encoded := make(map[string]*persimwire.RankedLoads, len(ranked))
	for service, loads := range ranked {
		encoded[service] = &persimwire.RankedLoads{Loads: encodeRanked(loads)}
	}
	return encoded
}

func decodeRankedSum(encoded map[string]*persimwire.RankedLoads) persimhub.Ranked {
	ranked := make(persimhub.Ranked, len(encoded))
	for service, loads := range encoded {
		ranked[service] = decodeRanked(loads.GetLoads())
	}
	return ranked
}
