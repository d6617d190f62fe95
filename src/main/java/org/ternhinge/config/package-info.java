/** The platform's settings file and the operators' own tuning. */
package org.ternhinge.config;
