/** Client of the workers' agents, for direct commands. */
package org.ternhinge.worker;
