package store

// Keys of the rows. All rows of the route and pool tables share TablesPrefix, so that a single List returns a
// consistent snapshot of the heads and the rows.
const (
	TablesPrefix  = "Tables/"
	RoutesHeadKey = "Tables/Head/Routes"
	PoolsHeadKey  = "Tables/Head/Pools"
	RoutePrefix   = "Tables/Route/" // followed by the name of the route
	PoolPrefix    = "Tables/Pool/"  // followed by the name of the pool
	ShardsKey     = "Shards"        // epochs of all key shards
	AgentPrefix   = "Agents/"       // followed by the agent's name and incarnation
)

// RecordsPrefix is the prefix of the names of objects that hold the start records of a drained agent. The agent's name
// and incarnation follow.
const RecordsPrefix = "Records/"

// AgentKey returns the key of the registration of one run of an agent.
func AgentKey(name, incarnation string) string { return AgentPrefix + name + "/" + incarnation }

// RecordsName returns the name of the object with the start records of one run of an agent.
func RecordsName(name, incarnation string) string { return RecordsPrefix + name + "/" + incarnation }
