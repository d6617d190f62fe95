/** Client of the cloud: machine types, provision and release of machines, and the machine list. */
package org.ternhinge.cloud;
