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

// callerVariable is the environment variable with a calling service's token.
const callerVariable = "WISTERIALB_CALLER_TOKEN"

// LoadCommand sends a load of requests to a fleet and checks each answer.
type LoadCommand struct {
	Entry         []string      `help:"Caller address of a router that is asked for the ranked ones; may be repeated." required:"" placeholder:"IP:PORT"`
	Team          string        `help:"Name of the one team, with --profile and WISTERIALB_CALLER_TOKEN." default:"load"`
	Profile       string        `help:"Profile that the one team runs under."`
	Teams         string        `help:"YAML file with several teams: name, profile, token or token_file, weight, share." placeholder:"FILE"`
	Zone          string        `help:"Availability zone of the callers."`
	Requests      int           `help:"Number of requests." default:"1000"`
	Rate          float64       `help:"Mean of arrivals in requests per second." default:"50"`
	Mix           string        `help:"Mix of requests: mixed, model, bookings or desk." default:"mixed"`
	Model         string        `help:"Model that completions ask for." default:"gasket-advice"`
	Service       string        `help:"Plain service for bookings and lookups." default:"order-desk"`
	MaxTokens     int           `help:"Greatest max_tokens of a completion." default:"64"`
	Deadline      time.Duration `help:"How long a caller waits for its answer, retries included." default:"30s"`
	Seed          uint64        `help:"Seed of arrivals, kinds, teams and prompts." default:"1"`
	RecordEngine  []string      `help:"Address of a stand-in engine whose record outcomes are checked against; may be repeated." placeholder:"IP:PORT"`
	RecordService []string      `help:"Address of a stand-in service whose record outcomes are checked against; may be repeated." placeholder:"IP:PORT"`
	JSON          bool          `help:"Print the report as JSON."`
}

// Run runs the command. Violations that the report counts are an error.
func (loadCommand LoadCommand) Run(environment Environment) error {
	teams, err := loadCommand.teams(environment)
	if err != nil {
		return usageError{cause: err}
	}
	config := load.Config{
		Entries:   loadCommand.Entry,
		Zone:      loadCommand.Zone,
		Teams:     teams,
		Seed:      loadCommand.Seed,
		Requests:  loadCommand.Requests,
		Rate:      loadCommand.Rate,
		Mix:       loadCommand.Mix,
		Model:     loadCommand.Model,
		Service:   loadCommand.Service,
		MaxTokens: loadCommand.MaxTokens,
		Deadline:  loadCommand.Deadline,
		JSON:      loadCommand.JSON,
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
	if report.Broken() {
		return fault.New(fault.Config{
			Kind:    fault.Internal,
			Message: fmt.Sprintf("promises were broken: %v", report.Violations),
			Remedy:  "look at the findings of the report; run the same seed again",
		})
	}
	return nil
}

// teamSettings is one team of a teams file.
type teamSettings struct {
	Name      string  `yaml:"name"`
	Profile   string  `yaml:"profile"`
	Token     string  `yaml:"token"`
	TokenFile string  `yaml:"token_file"`
	Weight    float64 `yaml:"weight"`
	Share     float64 `yaml:"share"`
}

func (loadCommand LoadCommand) teams(environment Environment) ([]load.Team, error) {
	if loadCommand.Teams != "" {
		return readTeams(loadCommand.Teams)
	}
	token, err := callerToken.parse(environment.Getenv(callerVariable))
	if err != nil || loadCommand.Profile == "" {
		return nil, fault.New(fault.Config{
			Kind:    fault.Invalid,
			Message: "no team to send requests for",
			Remedy:  fmt.Sprintf("give --profile and set %s, or name a file with --teams", callerVariable),
		})
	}
	return []load.Team{{Name: loadCommand.Team, Token: token, Profile: loadCommand.Profile, Weight: 1, Share: 1}}, nil
}

func readTeams(path string) ([]load.Team, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, teamsFault(path, err)
	}
	defer file.Close()
	decoder := yaml.NewDecoder(file)
	decoder.KnownFields(true)
	var entries []teamSettings
	if err := decoder.Decode(&entries); err != nil {
		return nil, teamsFault(path, err)
	}
	teams := make([]load.Team, 0, len(entries))
	for _, entry := range entries {
		token, err := entry.token(filepath.Dir(path))
		if err != nil {
			return nil, teamsFault(path, err)
		}
		teams = append(teams, load.Team{
			Name:    entry.Name,
			Token:   token,
			Profile: entry.Profile,
			Weight:  entry.Weight,
			Share:   entry.Share,
		})
	}
	return teams, nil
}

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

func teamsFault(path string, err error) error {
	return fault.New(fault.Config{
		Kind:    fault.Invalid,
		Message: fmt.Sprintf("%s: %v", path, err),
		Remedy:  "name a YAML file with a list of teams: name, profile, token or token_file, weight, share",
		Cause:   err,
	})
}
