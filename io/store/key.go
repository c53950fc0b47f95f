package store

// Keys of the rows. All rows of the tables share TablesPrefix, so that one List reads a consistent state
// of heads and rows.
const (
	TablesPrefix  = "Tables/"
	RoutesHeadKey = "Tables/Head/Routes"
	PoolsHeadKey  = "Tables/Head/Pools"
	RoutePrefix   = "Tables/Route/" // followed by the name of the route
	PoolPrefix    = "Tables/Pool/"  // followed by the name of the pool
	ShardsKey     = "Shards"        // epochs of all key shards
	AgentPrefix   = "Agents/"       // followed by name and incarnation of the agent
)

// RecordsPrefix starts the name of an object with the start records of a drained agent. The agent's name
// and incarnation follow.
const RecordsPrefix = "Records/"

// AgentKey returns the key of the registration of one run of an agent.
func AgentKey(name, incarnation string) string { return AgentPrefix + name + "/" + incarnation }

// RecordsName returns the name of the object with the start records of one run of an agent.
func RecordsName(name, incarnation string) string { return RecordsPrefix + name + "/" + incarnation }
