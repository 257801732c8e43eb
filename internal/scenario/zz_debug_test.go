package scenario
import ("os";"runtime/pprof")
func dumpHang(n string) { f,_:=os.Create("/tmp/dbg/hang-"+n); pprof.Lookup("goroutine").WriteTo(f,2); f.Close() }
