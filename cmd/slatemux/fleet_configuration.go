package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"slatemux/internal/configsync"
	"slatemux/internal/fleet"
	"slatemux/internal/ops"
)

// replicationConfig returns the settings for replicating the fleet configuration, or nil if replication is off.
func replicationConfig(cfg *config) *fleet.ConfigurationConfig {
	replicated := cfg.gateway.Fleet.Configuration
	if !cfg.gateway.Fleet.Enabled || !replicated.Enabled {
		return nil
	}
	zone := replicated.Zone
	if zone == "" {
		zone = cfg.settings.Zone
	}
	return &fleet.ConfigurationConfig{
		TrustedKeyFile: replicated.TrustedKeyFile,
		Region:         replicated.Region,
		Zone:           zone,
		MaxEntries:     replicated.MaxEntries,
		MaxFileBytes:   cfg.resourceLimits().configurationBytes,
		Replication:    replicated.Replication,
	}
}

// Configure submits a signed change of the fleet configuration. It implements ops.Relay.
func (h *opsHandler) Configure(ctx context.Context, body []byte) error {
	if !h.ready.Load() || h.fleet == nil {
		return &ops.Refusal{Status: http.StatusServiceUnavailable, Reason: fleet.ErrConfigurationOff}
	}
	change, err := decodeChange(body)
	if err != nil {
		return &ops.Refusal{Status: http.StatusBadRequest, Reason: err}
	}
	if err := h.fleet.Configure(ctx, change); err != nil {
		return &ops.Refusal{Status: configurationStatus(err), Reason: err}
	}
	return nil
}

// decodeChange decodes exactly one change. Anything else, or data after the change, is an error.
func decodeChange(body []byte) (configsync.Change, error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	var change fleet.ConfigurationChange
	if err := decoder.Decode(&change); err != nil {
		return configsync.Change{}, fmt.Errorf("not a configuration change: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return configsync.Change{}, errors.New("not a configuration change: unexpected data after the first JSON value")
	}
	return change.Change(), nil
}

// configurationStatus returns the HTTP status for the reason why a change was refused.
func configurationStatus(err error) int {
	switch {
	case errors.Is(err, configsync.ErrInvalid):
		return http.StatusBadRequest
	case errors.Is(err, configsync.ErrUntrusted):
		return http.StatusForbidden
	case errors.Is(err, fleet.ErrConfigurationConflict):
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}
