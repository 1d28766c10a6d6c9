/** The configuration kinds that operators publish and the settings of an instance. */
package org.oatlug.config;
