/**
 * The platform's settings file and the operators' tuning file, both read once at the start and
 * immutable from then on.
 */
package org.ternhinge.config;
