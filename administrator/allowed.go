package administrator

import (
	"net/http"
	"slices"

	"github.com/siskinfront/siskinfront/configurer"
)

// checkAllowed returns an error for a change that empties the list of versions of a model that an account may use. An empty list permits all
// versions, so the withdrawal of the last one would permit the others.
func checkAllowed(before, after *configurer.Configuration) error {
	for i := range after.ClientAccounts {
		account := &after.ClientAccounts[i]
		old := before.ClientAccount(account.Name)
		if old == nil {
			continue
		}
		for _, allowed := range account.Allowed {
			sameModel := func(a configurer.AllowedModel) bool { return a.Model == allowed.Model }
			j := slices.IndexFunc(old.Allowed, sameModel)
			if len(allowed.Versions) > 0 || j < 0 || len(old.Allowed[j].Versions) == 0 {
				continue
			}
			return newAPIError(http.StatusUnprocessableEntity, "allows-all-versions",
				"without a version in its list, %q could use all versions of %q; remove the model from its list to permit none, "+
					"and add it again in a second change to permit all", account.Name, allowed.Model)
		}
	}
	return nil
}
