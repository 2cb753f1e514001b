package administrator

import (
	"net/http"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

// defaultExposure is the share of a model's new requests that a roll-out starts with if neither the request nor the
// version gives one.
const defaultExposure = 0.01

// startBody is the optional body of a request that starts a roll-out.
type startBody struct {
	Exposure float64 `yaml:"exposure" validate:"gte=0,lte=1"`
}

// rolloutRoutes returns the operations on roll-outs. If-Match takes the ETag of the model.
func (s *Server) rolloutRoutes() []Route {
	const path = "/admin/v1/models/{name}/versions/{version}/"
	return []Route{
		{Method: http.MethodPost, Path: path + "start", MinRole: configurer.RoleOperator, RequiresIfMatch: true,
			Summary: "Start the roll-out of a version, or continue a paused one; If-Match takes the ETag of the model.",
			handler: s.startRollout},
		{Method: http.MethodPost, Path: path + "pause", MinRole: configurer.RoleOperator, RequiresIfMatch: true,
			Summary: "Keep the exposure of a candidate where it is; If-Match takes the ETag of the model.",
			handler: func(c *call) (reply, error) {
				return s.updateVersion(c, func(v *configurer.Version) error {
					if v.State != configurer.VersionCandidate {
						return notCandidateError(v)
					}
					v.Paused = true
					return nil
				})
			}},
		{Method: http.MethodPost, Path: path + "withdraw", MinRole: configurer.RoleOperator, RequiresIfMatch: true,
			Summary: "Give a version no new work from now on; needs may-withdraw or the role administrator.",
			handler: func(c *call) (reply, error) {
				return s.updateVersion(c, func(v *configurer.Version) error {
					v.State, v.Exposure, v.Paused = configurer.VersionWithdrawn, 0, false
					return nil
				})
			}},
	}
}

func (s *Server) startRollout(c *call) (reply, error) {
	body, err := decodeBody[startBody](c, true)
	if err != nil {
		return reply{}, err
	}
	return s.updateVersion(c, func(v *configurer.Version) error {
		switch {
		case v.State == configurer.VersionServing:
			return newAPIError(http.StatusConflict, "already-serving", "version %q serves fully", v.Name)
		case body.Exposure > 0:
			v.Exposure = body.Exposure
		case v.State == configurer.VersionWithdrawn || v.Exposure == 0:
			v.Exposure = defaultExposure
		}
		v.State, v.Paused = configurer.VersionCandidate, false
		return nil
	})
}

func notCandidateError(v *configurer.Version) error {
	return newAPIError(http.StatusConflict, "not-a-candidate", "version %q is %s", v.Name, v.State)
}

func (s *Server) updateVersion(c *call, f func(*configurer.Version) error) (reply, error) {
	name := c.PathValue("name")
	next, err := models.update(s, c, name, func(m *configurer.Model) error {
		v, err := findVersion(m, identifier.Version(c.PathValue("version")))
		if err != nil {
			return err
		}
		return f(v)
	})
	if err != nil {
		return reply{}, err
	}
	return models.entryReply(next, name, http.StatusOK)
}
