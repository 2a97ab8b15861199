package persimentry

import (
	"time"

	"persimmonport.example/persimpressure"
	"persimmonport.example/persimwire"
)

func encodeLimits(news []persimpressure.News) []*persimwire.UpstreamLimit {
	list := make([]*persimwire.UpstreamLimit, 0, len(news))
	for _, n := range news {
		list = append(list, &persimwire.UpstreamLimit{
			Upstream: n.Upstream, Named: n.Named, PerSecond: n.Limit, Version: n.Version,
			LastRequest: &persimwire.Past{AgeUs: n.Age.Microseconds(), Hops: uint32(max(0, n.Hops))},
		})
	}
	return list
}

func decodeLimits(list []*persimwire.UpstreamLimit) []persimpressure.News {
	news := make([]persimpressure.News, 0, len(list))
	for _, limit := range list {
		last := limit.GetLastRequest()
		news = append(news, persimpressure.News{
			Upstream: limit.GetUpstream(), Named: limit.GetNamed(), Limit: limit.GetPerSecond(), Version: limit.GetVersion(),
			Age: time.Duration(last.GetAgeUs()) * time.Microsecond, Hops: int(last.GetHops()),
		})
	}
	return news
}
