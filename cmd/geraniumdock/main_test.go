package main

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func TestExitCodes(t *testing.T) {
	conflict := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			w.Write([]byte(`{"version":3,"cells":[]}`))
			return
		}
		w.WriteHeader(http.StatusConflict)
		w.Write([]byte(`{"error":"conflict","message":"set by ayse"}`))
	}))
	defer conflict.Close()
	address := "--operator=" + conflict.Listener.Addr().String()
	table := writeFile(t, "table.yaml", "services:\n- service: s\n  routes: /s\n")
	for name, c := range map[string]struct {
		args []string
		code int
	}{
		"help":                {[]string{"--help"}, 0},
		"help of a command":   {[]string{"table", "set", "--help"}, 0},
		"no command":          {nil, exitUsage},
		"unknown command":     {[]string{"fly"}, exitUsage},
		"unknown flag":        {[]string{"status", "--loud"}, exitUsage},
		"missing argument":    {[]string{"table", "set", "app"}, exitUsage},
		"no settings":         {[]string{"serve", "--settings", "nowhere.yaml"}, exitInvalid},
		"good table":          {[]string{"check", table}, 0},
		"bad table":           {[]string{"check", writeFile(t, "bad.yaml", "rows:\n- caller: a\n  service: s\n  weight: 0\n")}, exitInvalid},
		"csv without rows":    {[]string{"check", writeFile(t, "bad.csv", "caller,service\n")}, 0},
		"csv with bad column": {[]string{"check", writeFile(t, "bad.csv", "caller,service,x\n")}, exitInvalid},
		"bad settings":        {[]string{"check", writeFile(t, "node.yaml", "region: x\n")}, exitInvalid},
		"no node":             {[]string{"status", "--operator=127.0.0.1:1"}, exitUnavailable},
		"conflict":            {[]string{"table", "set", address, "app", "s", "weight=1"}, exitConflict},
		"bad cell":            {[]string{"table", "set", address, "app", "s", "weight"}, exitInvalid},
		"no difference":       {[]string{"table", "apply", address, writeFile(t, "empty.csv", "caller,service,weight\n")}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(run(c.args), c.code)
		})
	}
}

func TestCertificatesPassCheck(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.Equal(run([]string{"certificates", "--out", dir, "one"}), 0)
	is.Equal(run([]string{"certificates", "--out", dir, "two"}), 0) // reuses the authority
	settings := filepath.Join(dir, "node.yaml")
	is.NoErr(os.WriteFile(settings, []byte("data-centre: a\nregion: r\nplatform: {address: http://127.0.0.1:1}\ncertificates: {authority: authority.pem, certificate: two.pem, key: two-key.pem}\n"), 0o600))
	is.Equal(run([]string{"check", settings}), 0)
}
