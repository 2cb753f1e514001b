package entryserver

import (
	"encoding/json"
	"net/http"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

type modelObject struct {
	ID      identifier.Model `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	OwnedBy string           `json:"owned_by"`
}

type modelList struct {
	Object string        `json:"object"`
	Data   []modelObject `json:"data"`
}

// models answers GET /v1/models with the models that the client account may use.
func (s *Server) models(w http.ResponseWriter, r *http.Request, _ identifier.Request) error {
	cfg := s.Configuration()
	account, err := s.authenticate(cfg, r)
	if err != nil {
		return err
	}
	list := modelList{Object: "list", Data: []modelObject{{ID: identifier.ModelAuto, Object: "model", OwnedBy: "siskinfront"}}}
	for i := range cfg.Models {
		if m := &cfg.Models[i]; usable(account, m) {
			list.Data = append(list.Data, modelObject{ID: m.Name, Object: "model", OwnedBy: "siskinfront"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	// The caller may have gone; there is nobody else to tell.
	_ = json.NewEncoder(w).Encode(list)
	return nil
}

func usable(account *configurer.ClientAccount, m *configurer.Model) bool {
	for i := range m.Versions {
		t := identifier.Target{Model: m.Name, Version: m.Versions[i].Name}
		if m.Versions[i].State != configurer.VersionWithdrawn && account.Allows(t) {
			return true
		}
	}
	return false
}
