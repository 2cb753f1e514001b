package runner

import (
	"net/netip"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/quarantiner"
)

// sendFact tells the other entries a fact, or only the collectors of its service.
func (s *sharing) sendFact(f quarantiner.Fact) {
	if f.CollectorsOf == "" {
		s.broadcaster.Send(message{Fact: &f})
		return
	}
	s.broadcaster.SendToSome(s.collectors(f.CollectorsOf), message{Fact: &f})
}

// collectors returns the addresses of the other entries that are told the crashes of a service.
func (s *sharing) collectors(service identifier.Service) []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]identifier.Instance, 0, len(s.entries)+1)
	names = append(names, s.self)
	for name := range s.entries {
		names = append(names, name)
	}
	var addresses []netip.AddrPort
	for _, name := range quarantiner.Collectors(service, names) {
		if name != s.self {
			addresses = append(addresses, s.entries[name].address)
		}
	}
	return addresses
}
