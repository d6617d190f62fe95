/** Client of the workers: direct commands and status. */
package org.ternhinge.worker;
