package command

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"go.yaml.in/yaml/v3"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/load"
)

// callerAuthVariable is the environment variable with the caller's bearer token.
const callerAuthVariable = "WISTERIALB_CALLER_TOKEN"

// LoadCommand sends load to a fleet and checks each answer.
type LoadCommand struct {
	Entry         []string      `help:"Caller address of a router that is asked for the ranked list of routers; may be repeated." required:"" placeholder:"IP:PORT"`
	Team          string        `help:"Team name when one team sends the load, with --profile and WISTERIALB_CALLER_TOKEN." default:"load"`
	Profile       string        `help:"Profile of the team that --team names."`
	Teams         string        `help:"YAML file with a list of teams, instead of one team: name, profile, token or token_file, weight, share." placeholder:"FILE"`
	Zone          string        `help:"Availability zone of the callers."`
	Requests      int           `help:"Number of requests." default:"1000"`
	Rate          float64       `help:"Mean arrival rate in requests per second." default:"50"`
	Mix           string        `help:"Mix of requests: mixed, model, bookings or desk." default:"mixed"`
	Model         string        `help:"Model that completions ask for." default:"gasket-advice"`
	Service       string        `help:"Plain service for bookings and lookups." default:"order-desk"`
	MaxTokens     int           `help:"Upper limit of max_tokens in completion requests." default:"64"`
	Deadline      time.Duration `help:"Time that a caller waits for its answer, including retries." default:"30s"`
	Seed          uint64        `help:"Seed of the random arrival times, request kinds, teams and prompts." default:"1"`
	RecordEngine  []string      `help:"Address of a stand-in engine; outcomes are checked against the runs that it recorded. May be repeated." placeholder:"IP:PORT"`
	RecordService []string      `help:"Address of a stand-in service; outcomes are checked against the runs that it recorded. May be repeated." placeholder:"IP:PORT"`
	JSON          bool          `help:"Print the report as JSON."`
}

// Run sends the load and prints the report. Violations in the report are an error.
func (loadCommand LoadCommand) Run(environment Environment) error {
	teams, err := loadCommand.teams(environment)
	if err != nil {
		return usageError{cause: err}
	}
	config := load.Config{
		EntryAddresses: loadCommand.Entry,
		Zone:           loadCommand.Zone,
		Teams:          teams,
		Seed:           loadCommand.Seed,
		Requests:       loadCommand.Requests,
		Rate:           loadCommand.Rate,
		Mix:            loadCommand.Mix,
		Model:          loadCommand.Model,
		Service:        loadCommand.Service,
		MaxTokens:      loadCommand.MaxTokens,
		Deadline:       loadCommand.Deadline,
		JSON:           loadCommand.JSON,
	}
	if len(loadCommand.RecordEngine)+len(loadCommand.RecordService) > 0 {
		config.Recorder = load.RemoteRecorder{Engines: loadCommand.RecordEngine, Services: loadCommand.RecordService}
	}
	report, err := load.Run(environment.Context, config, environment.Out)
	if fault.Is(err, fault.Invalid) {
		return usageError{cause: err}
	}
	if err != nil {
		return err
	}
	if report.HasViolations() {
		return fault.New(fault.Config{
			Kind:    fault.Internal,
			Message: fmt.Sprintf("the load run found violations: %v", report.Violations),
			Remedy:  "check the violations in the report; run again with the same seed",
		})
	}
	return nil
}

// teamSettings is one team of the --teams file. YAML errors that operators see
// contain the type's name.
type teamSettings struct {
	Name      string  `yaml:"name"`
	Profile   string  `yaml:"profile"`
	Token     string  `yaml:"token"`
	TokenFile string  `yaml:"token_file"`
	Weight    float64 `yaml:"weight"`
	Share     float64 `yaml:"share"`
}

// teams returns the teams of the --teams file, or the one that the flags and the
// environment describe.
func (loadCommand LoadCommand) teams(environment Environment) ([]load.Team, error) {
	if loadCommand.Teams != "" {
		return readTeams(loadCommand.Teams)
	}
	token, err := callerToken.parse(environment.Getenv(callerAuthVariable))
	if err != nil || loadCommand.Profile == "" {
		return nil, fault.New(fault.Config{
			Kind:    fault.Invalid,
			Message: "no team to send requests for",
			Remedy:  fmt.Sprintf("give --profile and set %s, or name a file with --teams", callerAuthVariable),
		})
	}
	return []load.Team{{Name: loadCommand.Team, Token: token, Profile: loadCommand.Profile, Weight: 1, ArrivalShare: 1}}, nil
}

func readTeams(path string) ([]load.Team, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, teamsFileError(path, err)
	}
	defer file.Close()
	decoder := yaml.NewDecoder(file)
	decoder.KnownFields(true)
	var entries []teamSettings
	if err := decoder.Decode(&entries); err != nil {
		return nil, teamsFileError(path, err)
	}
	teams := make([]load.Team, 0, len(entries))
	for _, teamSettings := range entries {
		token, err := teamSettings.token(filepath.Dir(path))
		if err != nil {
			return nil, teamsFileError(path, err)
		}
		teams = append(teams, load.Team{
			Name:         teamSettings.Name,
			Token:        token,
			Profile:      teamSettings.Profile,
			Weight:       teamSettings.Weight,
			ArrivalShare: teamSettings.Share,
		})
	}
	return teams, nil
}

// token returns the team's token. A relative token_file is relative to the
// directory.
func (teamSettings teamSettings) token(directory string) (string, error) {
	if teamSettings.TokenFile == "" {
		return teamSettings.Token, nil
	}
	path := teamSettings.TokenFile
	if !filepath.IsAbs(path) {
		path = filepath.Join(directory, path)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	return callerToken.parse(string(content))
}

func teamsFileError(path string, err error) error {
	return fault.New(fault.Config{
		Kind:    fault.Invalid,
		Message: fmt.Sprintf("%s: %v", path, err),
		Remedy:  "name a YAML file with a list of teams: name, profile, token or token_file, weight, share",
		Cause:   err,
	})
}
