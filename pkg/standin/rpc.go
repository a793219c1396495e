package standin

import (
	"context"
	"net/http"
	"strconv"

	"github.com/twitchtv/twirp"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
	"gitlab.com/wisterialb/wisterialb/pkg/platform/platformpb"
)

// newPlatformHandler serves the three services of the platform and the admin
// endpoints.
func newPlatformHandler(standin *Platform) http.Handler {
	server := &platformServer{standin: standin}
	table := platformpb.NewTableServer(server)
	objects := platformpb.NewObjectsServer(server)
	vms := platformpb.NewVMsServer(server)
	mux := http.NewServeMux()
	mux.Handle(table.PathPrefix(), withClientName(table))
	mux.Handle(objects.PathPrefix(), withClientName(objects))
	mux.Handle(vms.PathPrefix(), withClientName(vms))
	mux.HandleFunc("GET /admin/faults", serveJSON(standin.Faults))
	mux.HandleFunc("POST /admin/faults", acceptJSON(standin.SetFaults))
	mux.HandleFunc("GET /admin/counts", serveJSON(standin.Counts))
	mux.HandleFunc("POST /admin/silence", runAction(standin.BlackholeConnections))
	mux.HandleFunc("POST /admin/vms", acceptJSON(standin.setVMs))
	mux.HandleFunc("GET /healthz", serveHealth)
	return standin.withEra(mux)
}

// withEra states the era in all responses.
func (standin *Platform) withEra(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set(platform.EraHeader, strconv.FormatUint(standin.era.Load(), 10))
		next.ServeHTTP(writer, request)
	})
}

// vmBody is the JSON form of a VM.
type vmBody struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Leaving bool   `json:"leaving"`
}

func (standin *Platform) setVMs(bodies []vmBody) error {
	vms := make([]platform.VM, 0, len(bodies))
	for _, body := range bodies {
		vms = append(vms, platform.VM(body))
	}
	standin.vms.Set(vms)
	return nil
}

type clientNameKey struct{}

// withClientName adds the client name from the request header to the context.
func withClientName(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		ctx := context.WithValue(request.Context(), clientNameKey{}, request.Header.Get(platform.ClientHeader))
		next.ServeHTTP(writer, request.WithContext(ctx))
	})
}

// platformServer implements the platformpb services.
type platformServer struct {
	standin *Platform
}

func (platformServer *platformServer) platformForClient(ctx context.Context) platform.Platform {
	client, _ := ctx.Value(clientNameKey{}).(string)
	return platformServer.standin.ForClient(client)
}

// Transact applies all writes or none.
func (platformServer *platformServer) Transact(ctx context.Context, request *platformpb.TransactRequest) (*platformpb.TransactResponse, error) {
	err := platformServer.platformForClient(ctx).Table().Transact(ctx, platform.DecodeTransaction(request))
	return &platformpb.TransactResponse{}, twirpError(err)
}

// Get reads items.
func (platformServer *platformServer) Get(ctx context.Context, request *platformpb.GetRequest) (*platformpb.GetResponse, error) {
	items, err := platformServer.platformForClient(ctx).Table().Get(ctx, platform.DecodeKeys(request.GetKeys())...)
	return &platformpb.GetResponse{Items: platform.EncodeItems(items)}, twirpError(err)
}

// Query reads items of one partition.
func (platformServer *platformServer) Query(ctx context.Context, request *platformpb.QueryRequest) (*platformpb.QueryResponse, error) {
	items, err := platformServer.platformForClient(ctx).Table().Query(ctx, platform.DecodeQuery(request))
	return &platformpb.QueryResponse{Items: platform.EncodeItems(items)}, twirpError(err)
}

// PutObject stores an object.
func (platformServer *platformServer) PutObject(ctx context.Context, request *platformpb.PutObjectRequest) (*platformpb.PutObjectResponse, error) {
	err := platformServer.platformForClient(ctx).Objects().Put(ctx, request.GetName(), request.GetValue())
	return &platformpb.PutObjectResponse{}, twirpError(err)
}

// GetObject reads an object.
func (platformServer *platformServer) GetObject(ctx context.Context, request *platformpb.GetObjectRequest) (*platformpb.GetObjectResponse, error) {
	value, err := platformServer.platformForClient(ctx).Objects().Get(ctx, request.GetName())
	return &platformpb.GetObjectResponse{Value: value}, twirpError(err)
}

// ListObjects lists names of objects.
func (platformServer *platformServer) ListObjects(ctx context.Context, request *platformpb.ListObjectsRequest) (*platformpb.ListObjectsResponse, error) {
	names, err := platformServer.platformForClient(ctx).Objects().List(ctx, request.GetPrefix(), request.GetAfter(), int(request.GetLimit()))
	return &platformpb.ListObjectsResponse{Names: names}, twirpError(err)
}

// DeleteObject removes an object.
func (platformServer *platformServer) DeleteObject(ctx context.Context, request *platformpb.DeleteObjectRequest) (*platformpb.DeleteObjectResponse, error) {
	err := platformServer.platformForClient(ctx).Objects().Delete(ctx, request.GetName())
	return &platformpb.DeleteObjectResponse{}, twirpError(err)
}

// ListVMs lists the VMs.
func (platformServer *platformServer) ListVMs(ctx context.Context, _ *platformpb.ListVMsRequest) (*platformpb.ListVMsResponse, error) {
	vms, err := platformServer.platformForClient(ctx).VMs().List(ctx)
	response := &platformpb.ListVMsResponse{}
	for _, vm := range vms {
		response.Vms = append(response.Vms, &platformpb.VM{Address: vm.Address, Zone: vm.Zone, Leaving: vm.Leaving})
	}
	return response, twirpError(err)
}

// twirpCodes maps fault kinds to twirp codes. Other kinds become Unavailable.
var twirpCodes = map[fault.Kind]twirp.ErrorCode{
	fault.Conflict:   twirp.FailedPrecondition,
	fault.Overloaded: twirp.ResourceExhausted,
	fault.Invalid:    twirp.InvalidArgument,
	fault.NotFound:   twirp.NotFound,
}

func twirpError(err error) error {
	if err == nil {
		return nil
	}
	code, ok := twirpCodes[fault.KindOf(err)]
	if !ok {
		code = twirp.Unavailable
	}
	return twirp.NewError(code, fault.MessageOf(err))
}
