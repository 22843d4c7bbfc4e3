package lupinwood.cli;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import lupinwood.admission.AdmissionController;
import lupinwood.simulator.MalformedFrame;
import lupinwood.simulator.SimulatorAdapter;

/** Plays the decisions on the simulator's wire. */
final class SimulatorMode {
    int run() {
        try {
            new SimulatorAdapter(AdmissionController::new)
                    .play(
                            new FileInputStream(FileDescriptor.in),
                            new FileOutputStream(FileDescriptor.out));
            return 0;
        } catch (MalformedFrame e) {
            System.err.println("lupinwood: malformed frame: " + e.getMessage());
            return 1;
        } catch (IOException e) {
            System.err.println("lupinwood: the wire broke: " + e.getMessage());
            return 1;
        }
    }
}
