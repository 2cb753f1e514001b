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

func (s *Server) handleModels(w http.ResponseWriter, r *http.Request) {
	cfg := s.Configuration()
	account, err := s.authenticate(cfg, r)
	if err != nil {
		s.writeError(w, err)
		return
	}
	list := modelList{Object: "list", Data: []modelObject{{ID: identifier.ModelAuto, Object: "model", OwnedBy: "siskinfront"}}}
	for _, m := range cfg.Models {
		if usable(account, m) {
			list.Data = append(list.Data, modelObject{ID: m.Name, Object: "model", OwnedBy: "siskinfront"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	// The caller may have gone; there is nobody else to tell.
	_ = json.NewEncoder(w).Encode(list)
}

func usable(account *configurer.ClientAccount, m configurer.Model) bool {
	for _, v := range m.Versions {
		t := identifier.Target{Model: m.Name, Version: v.Name}
		if v.State != configurer.VersionWithdrawn && account.Allows(t) {
			return true
		}
	}
	return false
}
