/** HTTP server and HTTP clients on one Netty event loop. */
package org.ternhinge.http;
