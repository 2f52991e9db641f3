"""The proxies that failure tests put between a site's processes."""

from hornbeamglade.localsite import tcpproxy

Link = tcpproxy.TcpProxy
Links = tcpproxy.TcpProxies
