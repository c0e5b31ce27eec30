"""Public names of the modules that rank entry hosts and dispatchers."""

from skylarksill import _blocktable, _dispatchranking, _ranking, _routingtable, _steering

BlockTable = _blocktable.BlockTable
pack_address = _blocktable.pack_address
RoutingTable = _routingtable.RoutingTable
HostGrade = _steering.HostGrade
SteeringView = _steering.SteeringView
Cause = _ranking.Cause
Query = _ranking.Query
Ranking = _ranking.Ranking
TicketHosts = _ranking.TicketHosts
UnknownServiceError = _ranking.UnknownServiceError
rank_hosts = _ranking.rank_hosts
choose_ticket_hosts = _ranking.choose_ticket_hosts
rank_dispatchers = _dispatchranking.rank_dispatchers
