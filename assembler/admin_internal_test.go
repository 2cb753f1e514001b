package assembler

import (
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/configurer"
)

// Guards against an entry that serves the administration API on a network without TLS, so that operator keys are sent in plain
// text. NewEntry must check this itself, because settings that a program builds skip the checks of the settings file.
func TestAdminNeedsTLS(t *testing.T) {
	s := configurer.DefaultEntrySettings()
	for _, a := range []string{"0.0.0.0:0", "10.0.0.4:7003", "[::]:0", "[2001:db8::4]:7003"} {
		s.AdminAddress = netip.MustParseAddrPort(a)
		_, err := NewEntry(t.Context(), s)
		must.ErrorIs(t, err, errAdminExposed, must.Sprint(a))
	}
	s.Admin.Certificate, s.Admin.Key = "none.pem", "none.pem"
	_, err := NewEntry(t.Context(), s)
	must.ErrorContains(t, err, "load certificate of the administration API")
	e := &Entry{}
	for _, a := range []string{"127.0.0.1:0", "[::1]:0"} {
		must.NoError(t, e.loadAdminTLS(&configurer.EntrySettings{AdminAddress: netip.MustParseAddrPort(a)}))
	}
	s.Admin = configurer.AdminSettings{AllowPlain: true}
	must.NoError(t, e.loadAdminTLS(&s))
}
