"""Remote procedure calls between the processes of a deployment, over authenticated streams.

Answers are matched to calls by id, so a late or reordered answer never reaches another call.
"""

from skylarksill import _rpcclient, _rpcserver, _rpcstream

Identity = _rpcstream.Identity
RpcError = _rpcstream.RpcError
CallNotSentError = _rpcstream.CallNotSentError
CallLostError = _rpcstream.CallLostError
CallFailedError = _rpcstream.CallFailedError
CallContext = _rpcserver.CallContext
RpcServer = _rpcserver.RpcServer
RpcClient = _rpcclient.RpcClient
