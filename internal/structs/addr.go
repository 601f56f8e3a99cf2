package structs

import (
	"net/netip"

	"github.com/rotisserie/eris"
)

// ValidateAddr returns an error if addr is not the address of a peer: an IP number and a port
// from 1 to 65535. The platform has no host names; a look-up would hold a thread and a call.
func ValidateAddr(addr string) error {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return eris.Wrap(err, "address")
	}
	ip := a.Addr()
	if a.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() || ip.Zone() != "" {
		return eris.Errorf("address %s names no peer", a)
	}
	return nil
}
