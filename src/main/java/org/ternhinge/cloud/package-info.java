/**
 * Client of the cloud: machine types, provisioning and release of machines, and the machine list.
 */
package org.ternhinge.cloud;
