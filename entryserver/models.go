package entryserver

import (
	"encoding/json"
	"net/http"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/decoder"
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

func newModelObject(m identifier.Model) modelObject {
	return modelObject{ID: m, Object: "model", OwnedBy: "siskinfront"}
}

// serveModels answers GET /v1/models with the models that the client account may use.
func (s *Server) serveModels(w http.ResponseWriter, r *http.Request, _ identifier.Request) error {
	cfg := s.Configuration()
	account, err := s.authenticate(cfg, r)
	if err != nil {
		return err
	}
	list := modelList{Object: "list", Data: []modelObject{newModelObject(identifier.ModelAuto)}}
	for i := range cfg.Models {
		if m := &cfg.Models[i]; mayUse(account, m) {
			list.Data = append(list.Data, newModelObject(m.Name))
		}
	}
	writeJSON(w, list)
	return nil
}

// serveModel answers GET /v1/models/{model}. A model that the account may not use is reported as unknown,
// because the list does not show it either.
func (s *Server) serveModel(w http.ResponseWriter, r *http.Request, _ identifier.Request) error {
	cfg := s.Configuration()
	account, err := s.authenticate(cfg, r)
	if err != nil {
		return err
	}
	name := identifier.Model(r.PathValue("model"))
	if m := cfg.Model(name); name != identifier.ModelAuto && (m == nil || !mayUse(account, m)) {
		return &decoder.Error{
			Status: http.StatusNotFound, Code: "unknown-model", Type: decoder.TypeInvalidRequest,
			Message: "the model does not exist or the client account may not use it",
		}
	}
	writeJSON(w, newModelObject(name))
	return nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The caller may have disconnected; there is nobody else to report the error to.
	_ = json.NewEncoder(w).Encode(v)
}

// mayUse reports whether the account may use any version of m that is not withdrawn.
func mayUse(account *configurer.ClientAccount, m *configurer.Model) bool {
	for i := range m.Versions {
		t := identifier.Target{Model: m.Name, Version: m.Versions[i].Name}
		if m.Versions[i].State != configurer.VersionWithdrawn && account.Allows(t) {
			return true
		}
	}
	return false
}
