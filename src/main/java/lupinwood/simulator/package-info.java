/**
 * The simulator's wire: frames in, calls on a {@link lupinwood.admission.AdmissionPolicy}, its
 * results out as frames.
 */
package lupinwood.simulator;
