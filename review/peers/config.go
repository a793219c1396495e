package main

// The configuration of a small deployment, with the routes and limits of the sheet of
// kitahama-lb.

const (
	host    = "shop.example"
	key     = "key-of-roofers"
	tenant  = "roofers"
	llm     = "wisteria-llm"
	desk    = "order-app"
	llmPath = "/lohu930/"
)

type route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"prefix"`
	Kind        string  `json:"routeKind"`
	TimeoutMS   float64 `json:"timeoutMs"`
	GoalMS      float64 `json:"goalMs"`
	GapTargetMS float64 `json:"gapTargetMs,omitempty"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service"`
	MaxAttempts int     `json:"maxAttempts"`
	Sticky      bool    `json:"sticky"`
	Resumable   bool    `json:"resumable"`
}

type engine struct {
	Slots      int     `json:"slots"`
	KVCapacity float64 `json:"kvCapacity"`
	Stride     float64 `json:"stride"`
	Most       int     `json:"most"`
}

type service struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"healthPath"`
	MaxConns   int     `json:"maxConns"`
	Engine     *engine `json:"engine,omitempty"`
}

type limits struct {
	HeaderBytes     int `json:"maxHeaderBytes"`
	BodyBytes       int `json:"maxBodyBytes"`
	HeaderTimeoutMS int `json:"headerTimeoutMs"`
	IdleTimeoutMS   int `json:"idleTimeoutMs"`
}

type team struct {
	Name     string   `json:"name"`
	Keys     []string `json:"apiKeys"`
	Priority int      `json:"priority"`
	Prepaid  int64    `json:"prepaid"`
}

type configuration struct {
	Version  int       `json:"version"`
	Routes   []route   `json:"routes"`
	Services []service `json:"services"`
	Limits   limits    `json:"limits"`
	Tenants  []team    `json:"tenants"`
}

// newConfiguration returns the first configuration, with the tenant's budget in tokens.
func newConfiguration(prepaid int64) configuration {
	return configuration{
		Version: 7,
		Routes: []route{
			{
				Name: "quote-draft", Host: host, Prefix: llmPath, Kind: "streaming", TimeoutMS: 6000, GoalMS: 600, GapTargetMS: 300,
				Service: llm, MaxAttempts: 2, Sticky: true, Resumable: true,
			},
			{
				Name: "material-list", Host: host, Prefix: "/pufi791/", Kind: "streaming", TimeoutMS: 4000, GoalMS: 1000, GapTargetMS: 300,
				Priority: 1, Service: llm, MaxAttempts: 1, Sticky: true,
			},
			{
				Name: "customer-chat", Host: host, Prefix: "/xegu116/", Kind: "streaming", TimeoutMS: 15000, GoalMS: 1200, GapTargetMS: 300,
				Priority: 2, Service: llm, MaxAttempts: 2, Sticky: true, Resumable: true,
			},
			{
				Name: "deposit-post", Host: host, Prefix: "/puxa403/", Kind: "unsafe", TimeoutMS: 1200, GoalMS: 150, Priority: 2, Service: desk,
				MaxAttempts: 1,
			},
			{
				Name: "order-read", Host: host, Prefix: "/cufi504/", Kind: "safe", TimeoutMS: 1200, GoalMS: 150, Priority: 2, Service: desk,
				MaxAttempts: 2,
			},
		},
		Services: []service{
			{Name: llm, HealthPath: "/healthz", MaxConns: 370, Engine: &engine{Slots: 64, KVCapacity: 286885, Stride: 4, Most: 12}},
			{Name: desk, HealthPath: "/healthz", MaxConns: 110},
		},
		Limits:  limits{HeaderBytes: 16384, BodyBytes: 4194304, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
		Tenants: []team{{Name: tenant, Keys: []string{key}, Priority: 1, Prepaid: prepaid}},
	}
}
